#include "Utilities/teaselctl/Help.h"

#include <algorithm>
#include <array>

namespace teaselhold::tool {

namespace {

struct CommandHelp
{
  std::string_view name;
  /// What the command works on; none if it takes nothing.
  std::string_view argument;
  std::string_view summary;
  std::string_view text;
};

constexpr std::array<CommandHelp, 8> kCommands{ {
  { "check",
    "FILE",
    "check a text without a node",
    "Reports every error of the text with its line. Asks no node.\n"
    "\n"
    "Examples:\n"
    "  teaselctl check mesh.ini\n"
    "  teaselctl check mesh.ini --output json\n" },
  { "apply",
    "FILE",
    "make a text the version in force",
    "Checks the text, reads the version in force and asks a node to replace\n"
    "it. If another text was accepted in between, nothing is changed, the\n"
    "difference is shown and the exit code is 3. If the node is lost before\n"
    "it answers, the store is asked through the other nodes what became of\n"
    "the apply; it is never applied a second time.\n"
    "  --base N     the version that the text was written from; use it when\n"
    "               others may have applied a text since you read it;\n"
    "               0 replaces whatever is in force\n"
    "  --timeout S  seconds until the outcome counts as unknown (10)\n"
    "\n"
    "Examples:\n"
    "  teaselctl get >mesh.ini           # prints \"version 41\" on stderr\n"
    "  teaselctl apply mesh.ini --base 41\n"
    "  teaselctl --node 10.1.1.7:7404,10.2.1.7:7404 apply mesh.ini\n" },
  { "get",
    "",
    "print the text in force",
    "Prints the text that is in force on the node, and its version on stderr.\n"
    "\n"
    "Examples:\n"
    "  teaselctl get >mesh.ini\n"
    "  teaselctl get --output json | jq .generation\n" },
  { "diff",
    "FILE",
    "compare a text with the one in force",
    "Shows what an apply of the text would change. Exits with 0 whether or\n"
    "not the texts differ.\n"
    "\n"
    "Examples:\n"
    "  teaselctl diff mesh.ini\n"
    "  teaselctl diff mesh.ini --output json | jq .same\n" },
  { "status",
    "",
    "show versions in force, lagging nodes and alarms",
    "Shows the fleet as the node knows it.\n"
    "  --wait        wait until every running node has the newest version in\n"
    "                force; exits with 1 if one refuses it or time is up\n"
    "  --at-least N  with --wait: wait for version N or a newer one\n"
    "  --timeout S   seconds to wait (10)\n"
    "\n"
    "Examples:\n"
    "  teaselctl status\n"
    "  teaselctl status --wait --at-least 42 --timeout 30\n"
    "  teaselctl status --output json | jq .lagging\n" },
  { "nodes",
    "",
    "list the nodes",
    "Lists the nodes that the node knows, with state, role and version.\n"
    "\n"
    "Examples:\n"
    "  teaselctl nodes\n"
    "  teaselctl nodes --output json | jq '.nodes[] | select(.state==\"down\")'"
    "\n" },
  { "metrics",
    "",
    "show latencies and outcomes of one node",
    "Shows, for each class and tenant, the outcomes and the latencies of the\n"
    "calls that entered through the node, and why calls were not run.\n"
    "\n"
    "Examples:\n"
    "  teaselctl --node 10.1.1.7:7404 metrics\n"
    "  teaselctl metrics --output json | jq '.calls[].unknown'\n" },
  { "explain",
    "ID",
    "tell from logs what became of a request",
    "Reads logs of nodes and shows the steps of the request with the caller's\n"
    "identity ID, and of the requests that upstreams made for it (ID.*), in\n"
    "the order of time: where it ended, what was decided and by which "
    "figures.\n"
    "Then the changes of these nodes from 5 s before to 5 s after it, and the\n"
    "last ones before that. Exits with 1 if no line is of this request.\n"
    "  --log A,B,...  logs, one for each node, named NODE.log, or with the\n"
    "                 node's name before the time in each line; - is the\n"
    "                 standard input (-)\n"
    "\n"
    "Examples:\n"
    "  teaselctl explain 4510d9af9116c69c --log a-6.log,b-2.log\n"
    "  cat logs/* | teaselctl explain 4510d9af9116c69c --output json\n" },
} };

const CommandHelp*
FindCommand(std::string_view aName)
{
  const auto found = std::ranges::find(kCommands, aName, &CommandHelp::name);
  return found == kCommands.end() ? nullptr : &*found;
}

std::string
Overview()
{
  std::string text =
    "usage: teaselctl [FLAGS] COMMAND [FILE|ID]\n\nCommands:\n";
  constexpr std::size_t kColumn = 16;
  for (const auto& command : kCommands) {
    std::string name(command.name);
    name.append(command.argument.empty() ? "" : " ").append(command.argument);
    name.resize(kColumn, ' ');
    text.append("  ").append(name).append(command.summary).append("\n");
  }
  text += "\nFlags:\n"
          "  --node A,B,...  admin addresses of nodes, tried in turn "
          "(127.0.0.1:7404)\n"
          "  --output KIND   text or json (text)\n"
          "  --timeout S     seconds to wait for the outcome (10)\n"
          "  --help          explain a command, as in \"teaselctl apply "
          "--help\"\n"
          "\n"
          "Exit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict,\n"
          "4 outcome unknown\n"
          "\n"
          "Examples:\n"
          "  teaselctl check mesh.ini\n"
          "  teaselctl apply mesh.ini && teaselctl status --wait\n";
  return text;
}

} // namespace

std::vector<std::string_view>
CommandNames()
{
  std::vector<std::string_view> names;
  names.reserve(kCommands.size());
  for (const auto& command : kCommands) {
    names.push_back(command.name);
  }
  return names;
}

std::string_view
ArgumentOf(std::string_view aCommand)
{
  const auto* command = FindCommand(aCommand);
  return command == nullptr ? std::string_view() : command->argument;
}

std::string
HelpText(std::string_view aCommand)
{
  const auto* command = FindCommand(aCommand);
  if (command == nullptr) {
    return Overview();
  }
  std::string text = "usage: teaselctl [FLAGS] ";
  text.append(command->name)
    .append(command->argument.empty() ? "" : " ")
    .append(command->argument);
  return text.append("\n\n").append(command->text);
}

} // namespace teaselhold::tool
