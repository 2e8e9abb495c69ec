#pragma once

#include "zinniarelay/core/finding.h"
#include "zinniarelay/core/result.h"

namespace zinnia {

/// The content of an operator's file, or all findings that prevent its use.
template <class T>
using checked = boost::outcome_v2::basic_result<T, findings, boost::outcome_v2::policy::terminate>;

} // namespace zinnia
