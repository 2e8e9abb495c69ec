#include "event_queue.h"

#include <glog/logging.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace zinnia::entryd {

event_queue::event_queue() : descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  PCHECK(descriptor_ >= 0);
}

event_queue::~event_queue() {
  ::close(descriptor_);
}

void event_queue::push(entry_event event) {
  {
    const std::scoped_lock lock(mutex_);
    events_.push_back(std::move(event));
  }
  const std::uint64_t increment = 1;
  PCHECK(::write(descriptor_, &increment, sizeof increment) == sizeof increment || errno == EAGAIN);
}

std::vector<entry_event> event_queue::take() {
  std::uint64_t count = 0;
  // The descriptor is reset before the events are removed, so a later push wakes the loop again.
  PCHECK(::read(descriptor_, &count, sizeof count) == sizeof count || errno == EAGAIN);
  const std::scoped_lock lock(mutex_);
  return std::exchange(events_, {});
}

} // namespace zinnia::entryd
