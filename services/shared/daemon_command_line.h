#pragma once

#include "zinniarelay/config/checked.h"
#include "zinniarelay/core/random.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <random>
#include <string>

namespace zinnia {

/// The command line options of all daemons, and the loading of their settings.
class daemon_command_line {
public:
  /// Exit code when the settings have findings.
  static constexpr int exit_bad_settings = 2;

  explicit daemon_command_line(CLI::App& app) {
    app.add_option("--settings", settings_file_, "settings file in YAML")->required();
    app.add_flag("--check-settings", is_check_only_, "check the settings file and exit");
  }

  const std::string& settings_file() const { return settings_file_; }

  /// Loads the settings and passes them to `serve`. When there are findings, prints them instead.
  /// When only a check was requested, does not call `serve`. Returns the exit code of the process.
  template <class Settings, class Serve>
  int run(const Serve& serve) const {
    const auto settings = Settings::load(settings_file_);
    if (!settings.has_value()) {
      for (const auto& it : settings.error())
        std::cerr << it << std::endl;
      return exit_bad_settings;
    }
    if (!is_check_only_) return serve(settings.value());
    std::cout << settings_file_ << ": no findings" << std::endl;
    return 0;
  }

private:
  std::string settings_file_;
  bool is_check_only_ = false;
};

/// Returns a random engine with a seed that differs between processes.
inline random_engine seeded_engine() {
  std::random_device device;
  return random_engine((std::uint64_t{device()} << 32U) | device());
}

} // namespace zinnia
