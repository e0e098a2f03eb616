#include "Utilities/teaselctl/Commands.h"
#include "Utilities/teaselctl/Help.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace teaselhold::tool;
  const auto options = ParseOptions({ aArguments + 1, aArguments + aCount });
  if (!options) {
    std::cerr << "teaselctl: " << options.error() << "\nsee teaselctl --help\n";
    return Usage;
  }
  if (options->help) {
    std::cout << HelpText(options->command);
    return Done;
  }
  NodeClients nodes(options->nodes, std::cerr);
  const Report report(options->json, std::cout, std::cerr);
  return RunCommand({ *options, nodes, report });
}
