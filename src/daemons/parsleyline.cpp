#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cli/http_transport.h"
#include "cli/run.h"

int main(int argc, char** argv) {
  using parsleyline::cli::HttpTransport;
  using parsleyline::cli::Surroundings;

  HttpTransport transport;
  Surroundings surroundings{transport, std::cin, std::cout, std::cerr};
  const char* entries = std::getenv("PARSLEYLINE_ENTRY");
  if (entries != nullptr) surroundings.default_entries = entries;
  const std::vector<std::string> args(argv + 1, argv + argc);
  return static_cast<int>(parsleyline::cli::Run(args, surroundings));
}
