#include "command_context.h"
#include "zinniarelay/token/key_file.h"

#include <iostream>
#include <memory>
#include <optional>

namespace zinnia {
namespace {

struct key_options {
  std::string file;
  std::optional<unsigned> generation;
};

exit_code write(const result<key_file>& changed, const std::string& file) {
  if (!changed) return report(changed.error());
  const auto written = changed.value().write(file);
  if (!written) return report(written.error());
  std::cout << file << ": active generation " << unsigned{changed.value().active_generation()}
            << ", accepted generations";
  for (const auto it : changed.value().generations())
    std::cout << ' ' << unsigned{it};
  std::cout << '\n';
  return exit_code::done;
}

exit_code generate(const key_options& options) {
  // Replacing the keys of running hosts would break every open flow.
  if (std::filesystem::exists(options.file)) {
    std::cerr << options.file << ": already exists; use stage, activate and retire\n";
    return exit_code::refused;
  }
  return write(key_file::generate(), options.file);
}

using key_change = result<key_file> (*)(const key_file&, std::optional<unsigned>);

exit_code change(const key_options& options, key_change apply) {
  const auto loaded = key_file::load(options.file);
  if (loaded) return write(apply(loaded.value(), options.generation), options.file);
  for (const auto& it : loaded.error())
    std::cerr << it << '\n';
  return exit_code::bad_file;
}

result<key_file> stage(const key_file& keys, std::optional<unsigned>) {
  return keys.stage();
}

/// Returns the requested generation, or a generation that isn't active if none was requested.
result<std::uint8_t> inactive_generation(const key_file& keys, std::optional<unsigned> requested) {
  if (requested) return static_cast<std::uint8_t>(*requested);
  for (const auto it : keys.generations())
    if (it != keys.active_generation()) return it;
  return failure(error_kind::not_found, "key file", "contains only the active generation");
}

result<key_file> activate(const key_file& keys, std::optional<unsigned> requested) {
  ZINNIA_TRY(generation, inactive_generation(keys, requested));
  return keys.activate(generation);
}

result<key_file> retire(const key_file& keys, std::optional<unsigned> requested) {
  ZINNIA_TRY(generation, inactive_generation(keys, requested));
  return keys.retire(generation);
}

void add_change(CLI::App& parent, command_context& context, const char* name,
                const char* description, key_change apply) {
  const auto options = std::make_shared<key_options>();
  auto* command = parent.add_subcommand(name, description);
  command->add_option("FILE", options->file, "Keys file")->required();
  if (apply != &stage)
    command
        ->add_option("GENERATION", options->generation,
                     "Generation of the key (default: the one that is not active)")
        ->check(CLI::Range(1, 255));
  command->callback([&context, options, apply] {
    context.action = [options, apply] { return change(*options, apply); };
  });
}

} // namespace

void add_key_commands(CLI::App& app, command_context& context) {
  auto* keys = app.add_subcommand("keys", "Generate and rotate the keys of flow tokens in a file");
  keys->require_subcommand(1);
  keys->footer(
      "The steps of a rotation are stage, activate and retire. It breaks no flow if each step "
      "reaches every entry host before the next one, and if retire waits until the tokens "
      "of the old key have expired.");
  const auto options = std::make_shared<key_options>();
  auto* command = keys->add_subcommand("generate", "Write a new keys file with one random key");
  command->add_option("FILE", options->file, "Keys file; must not exist")->required();
  command->callback(
      [&context, options] { context.action = [options] { return generate(*options); }; });
  add_change(*keys, context, "stage", "Add a random key that is accepted but does not seal yet",
             &stage);
  add_change(*keys, context, "activate", "Use a staged key to seal tokens", &activate);
  add_change(*keys, context, "retire", "Remove a key that no longer seals", &retire);
}

} // namespace zinnia
