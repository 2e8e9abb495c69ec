#include "proofs/proof.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <set>

namespace zinnia::proofs {

std::vector<proof>& registry() {
  static std::vector<proof> list;
  return list;
}

registration::registration(std::vector<proof> list) {
  for (auto& it : list)
    registry().push_back(std::move(it));
}

} // namespace zinnia::proofs

namespace {

using zinnia::proofs::proof;

std::string name_of(const proof& it) {
  return it.promise + " | " + it.fault + " | " + std::to_string(it.seed);
}

// An entry of KNOWN-RED.txt names a proof as "proof: PROMISE | FAULT | SEED".
std::set<std::string> known_red(const std::string& path) {
  std::set<std::string> names;
  std::ifstream in(path);
  const std::string prefix = "proof: ";
  for (std::string line; std::getline(in, line);)
    if (line.rfind(prefix, 0) == 0) names.insert(line.substr(prefix.size()));
  return names;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("Runs the proofs of the promises: promise | fault | seed | held or broken");
  std::string only;
  std::string known_file;
  app.add_option("--only", only, "run only proofs whose line contains this text");
  app.add_option("--known-red", known_file, "file that lists proofs known to be broken");
  CLI11_PARSE(app, argc, argv);

  const auto known = known_red(known_file);
  int broken = 0;
  int count = 0;
  for (const auto& it : zinnia::proofs::registry()) {
    const auto name = name_of(it);
    if (name.find(only) == std::string::npos) continue;
    ++count;
    const auto seen = it.run(it.seed);
    const bool is_known = known.count(name) > 0;
    std::cout << name << " | "
              << (seen.held  ? "held"
                  : is_known ? "broken (known)"
                             : "broken")
              << " | " << seen.detail << std::endl;
    if (!seen.held && !is_known) ++broken;
  }
  std::cout << count << " proofs, " << broken << " broken" << std::endl;
  return broken == 0 && count > 0 ? 0 : 1;
}
