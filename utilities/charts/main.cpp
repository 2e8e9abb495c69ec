#include "zinniarelay/chart/chart_page.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

int main(int argc, char** argv) {
  CLI::App app("Checks the state charts of a folder and prints them as docs/charts.md.",
               "zinnia-charts");
  std::string folder = "charts";
  app.add_option("FOLDER", folder, "Folder of the charts")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  const auto page = zinnia::chart_page(folder);
  if (page) {
    std::cout << page.value();
    return 0;
  }
  for (const auto& it : page.error())
    std::cerr << it << '\n';
  return 1;
}
