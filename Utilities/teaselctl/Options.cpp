#include "Utilities/teaselctl/Options.h"

#include "Protocol/Suggestion.h"
#include "Utilities/teaselctl/Help.h"

#include <algorithm>
#include <gflags/gflags.h>

DEFINE_string(node, "127.0.0.1:7404", "admin addresses, tried in turn");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(wait, false, "status: wait until the version is in force");
DEFINE_uint32(timeout, 10, "seconds to wait for the outcome");
DEFINE_int64(base, -1, "apply: the version that the text is based on");
DEFINE_uint64(at_least, 0, "status --wait: the version to wait for");
DEFINE_string(log, "", "explain: logs to read");
DEFINE_bool(help_command, false, "explain the command");

namespace teaselhold::tool {

namespace {

constexpr std::uint32_t kMaxTimeoutSeconds = 3600;
const std::vector<std::string_view> kFlags{ "node",     "output", "wait",
                                            "timeout",  "base",   "help",
                                            "at-least", "log" };

/// Sets one gflags flag. ParseCommandLineFlags is not used because it exits
/// with 1 on a bad flag, which here means that a change was refused.
class FlagReader
{
public:
  tl::expected<std::vector<std::string>, std::string> Read(
    const std::vector<std::string>& aArguments)
  {
    std::vector<std::string> words;
    for (std::size_t i = 0; i < aArguments.size(); ++i) {
      const auto& argument = aArguments[i];
      if (argument == "-h") {
        FLAGS_help_command = true;
      } else if (!argument.starts_with("--")) {
        words.push_back(argument);
      } else if (auto error = ReadFlag(aArguments, i); !error.empty()) {
        return tl::make_unexpected(std::move(error));
      }
    }
    return words;
  }

private:
  static std::string ReadFlag(const std::vector<std::string>& aArguments,
                              std::size_t& aPlace)
  {
    const auto text = aArguments[aPlace].substr(2);
    const auto equals = text.find('=');
    auto name = text.substr(0, equals);
    std::ranges::replace(name, '_', '-');
    if (std::ranges::find(kFlags, name) == kFlags.end()) {
      return "unknown flag --" + name + "; expected one of " +
             protocol::JoinNames(kFlags) + protocol::SuggestName(name, kFlags);
    }
    const auto shown = name;
    const bool isSwitch = name == "wait" || name == "help";
    name = name == "help" ? "help_command" : name;
    std::ranges::replace(name, '-', '_');
    std::string value = "true";
    if (equals != std::string::npos) {
      value = text.substr(equals + 1);
    } else if (!isSwitch) {
      if (++aPlace == aArguments.size()) {
        return "flag --" + shown + " needs a value";
      }
      value = aArguments[aPlace];
    }
    if (name == "log" && !FLAGS_log.empty()) {
      value.insert(0, FLAGS_log + ",");
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return "bad value \"" + value + "\" for --" + shown +
             "; see teaselctl --help for what it takes";
    }
    return "";
  }
};

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const auto comma = std::min(aText.find(',', start), aText.size());
    if (comma > start) {
      items.push_back(aText.substr(start, comma - start));
    }
    start = comma + 1;
  }
  return items;
}

/// @return what is wrong with the words, or "".
std::string
CheckWords(const std::vector<std::string>& aWords)
{
  if (aWords.empty()) {
    return "a command is missing; expected " +
           protocol::JoinNames(CommandNames());
  }
  const auto& command = aWords.front();
  const auto names = CommandNames();
  if (std::ranges::find(names, command) == names.end()) {
    return "unknown command \"" + command + "\"; expected " +
           protocol::JoinNames(names) + protocol::SuggestName(command, names);
  }
  const auto argument = ArgumentOf(command);
  if (!argument.empty() && (aWords.size() < 2 || aWords[1].empty())) {
    return command + (argument == "ID" ? " needs an " : " needs a ") +
           std::string(argument);
  }
  const std::size_t expected = argument.empty() ? 1 : 2;
  return aWords.size() > expected
           ? command + " does not take \"" + aWords[expected] + "\""
           : "";
}

} // namespace

tl::expected<Options, std::string>
ParseOptions(const std::vector<std::string>& aArguments)
{
  auto words = FlagReader().Read(aArguments);
  if (!words) {
    return tl::make_unexpected(words.error());
  }
  Options options;
  options.help = FLAGS_help_command;
  if (!words->empty() && words->front() == "help") {
    options.help = true;
    words->erase(words->begin());
  }
  if (!words->empty()) {
    options.command = words->front();
  }
  if (options.help) {
    return options;
  }
  if (auto error = CheckWords(*words); !error.empty()) {
    return tl::make_unexpected(std::move(error));
  }
  options.argument = words->size() > 1 ? (*words)[1] : "";
  options.nodes = SplitList(FLAGS_node);
  options.logs = SplitList(FLAGS_log.empty() ? "-" : FLAGS_log);
  options.json = FLAGS_output == "json";
  options.wait = FLAGS_wait;
  options.timeout = std::chrono::seconds(FLAGS_timeout);
  options.atLeast = FLAGS_at_least;
  if (FLAGS_base >= 0) {
    options.base = static_cast<std::uint64_t>(FLAGS_base);
  }
  if (options.nodes.empty()) {
    return tl::make_unexpected("--node names no address; expected IP:PORT");
  }
  if (!options.json && FLAGS_output != "text") {
    return tl::make_unexpected("bad value \"" + FLAGS_output +
                               "\" for --output; expected text or json");
  }
  if (FLAGS_timeout == 0 || FLAGS_timeout > kMaxTimeoutSeconds) {
    return tl::make_unexpected(
      "bad value for --timeout; expected 1 to 3600 seconds");
  }
  return options;
}

} // namespace teaselhold::tool
