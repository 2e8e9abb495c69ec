#include "proofs/proof.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <set>

namespace zinnia::proofs {

std::vector<proof>& registered_proofs() {
  static std::vector<proof> list;
  return list;
}

proof_registration::proof_registration(std::vector<proof> list) {
  for (auto& entry : list)
    registered_proofs().push_back(std::move(entry));
}

} // namespace zinnia::proofs

namespace {

using zinnia::proofs::proof;

std::string full_name(const proof& entry) {
  return entry.promise + " | " + entry.fault + " | " + std::to_string(entry.seed);
}

// Reads the entries of KNOWN-RED.txt that name a proof: "proof: PROMISE | FAULT | SEED".
std::set<std::string> read_known_red(const std::string& path) {
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
  std::string known_red_path;
  app.add_option("--only", only, "run only proofs whose line contains this text");
  app.add_option("--known-red", known_red_path, "file that lists proofs known to be broken");
  CLI11_PARSE(app, argc, argv);

  const auto known = read_known_red(known_red_path);
  int broken = 0;
  int count = 0;
  for (const auto& it : zinnia::proofs::registered_proofs()) {
    const auto name = full_name(it);
    if (name.find(only) == std::string::npos) continue;
    ++count;
    const auto result = it.run(it.seed);
    const bool is_known = known.count(name) > 0;
    std::cout << name << " | "
              << (result.is_held ? "held"
                  : is_known     ? "broken (known)"
                                 : "broken")
              << " | " << result.detail << std::endl;
    if (!result.is_held && !is_known) ++broken;
  }
  std::cout << count << " proofs, " << broken << " broken" << std::endl;
  return broken == 0 && count > 0 ? 0 : 1;
}
