#include "Services/teaselholdd/SettingsReload.h"

#include "Protocol/IniDocument.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <spdlog/spdlog.h>
#include <sstream>
#include <sys/stat.h>

namespace teaselhold::daemon {

namespace {

using protocol::IniDocument;
using protocol::ProtocolError;

/// What a running process takes.
constexpr std::array<std::string_view, 6> kTaken{
  "log.level",   "node.drain_timeout", "retry.ratio",
  "retry.slack", "retry.window",       "upstream.drain"
};

/// Must match kTaken.
void
TakeRunning(Settings& aSettings, const Settings& aNew)
{
  aSettings.logLevel = aNew.logLevel;
  aSettings.drainTimeout = aNew.drainTimeout;
  aSettings.retryRatio = aNew.retryRatio;
  aSettings.retrySlack = aNew.retrySlack;
  aSettings.retryWindow = aNew.retryWindow;
  aSettings.upstreamDrain = aNew.upstreamDrain;
}

std::map<std::string, std::string>
ValuesOf(const std::string& aText)
{
  std::vector<ProtocolError> errors;
  std::map<std::string, std::string> values;
  const auto document = IniDocument::ParseReadable(aText, errors);
  for (const auto& section : document.Sections()) {
    for (const auto& entry : section.entries) {
      values[section.name + "." + entry.key] = entry.value;
    }
  }
  return values;
}

/// The names of the keys that were changed, added or removed.
std::vector<std::string>
ChangedNames(const std::string& aOld, const std::string& aNew)
{
  const auto before = ValuesOf(aOld);
  const auto after = ValuesOf(aNew);
  std::vector<std::string> names;
  for (const auto& [name, value] : after) {
    const auto found = before.find(name);
    if (found == before.end() || found->second != value) {
      names.push_back(name);
    }
  }
  for (const auto& [name, value] : before) {
    if (!after.contains(name)) {
      names.push_back(name);
    }
  }
  return names;
}

std::string
Join(const std::vector<std::string>& aNames, bool aIsTaken)
{
  std::string text;
  for (const auto& name : aNames) {
    if ((std::ranges::find(kTaken, name) != kTaken.end()) == aIsTaken) {
      text += (text.empty() ? "" : ",") + name;
    }
  }
  return text.empty() ? "none" : text;
}

} // namespace

std::optional<std::string>
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

SettingsReload::SettingsReload(std::string aPath,
                               std::string aText,
                               Settings aSettings,
                               Sink aSink)
  : path_(std::move(aPath))
  , text_(std::move(aText))
  , validText_(text_)
  , settings_(std::move(aSettings))
  , sink_(std::move(aSink))
{
}

void
SettingsReload::Read()
{
  // Taken first: a change during the read has another stamp then.
  readStamp_ = StampOf(path_);
  seenStamp_ = readStamp_;
  const auto text = ReadTextFile(path_);
  if (!text) {
    spdlog::error("[node] Settings refused, the earlier ones stay. "
                  "reason=\"{} cannot be read\"",
                  path_);
    return;
  }
  Take(*text);
}

void
SettingsReload::Poll()
{
  const auto stamp = StampOf(path_);
  // A file that is missing is being replaced.
  const bool isStable = stamp && stamp == seenStamp_;
  seenStamp_ = stamp;
  if (!isStable || stamp == readStamp_) {
    return;
  }
  readStamp_ = stamp;
  const auto text = ReadTextFile(path_);
  if (text && *text != text_) {
    Take(*text);
  }
}

void
SettingsReload::Take(const std::string& aText)
{
  text_ = aText;
  const auto checked = ParseSettings(aText);
  if (!checked) {
    for (const auto& error : checked.error()) {
      spdlog::error("[node] Settings refused, the earlier ones stay. line={} "
                    "reason=\"{}\"",
                    error.line,
                    error.message);
    }
    return;
  }
  const auto changed = ChangedNames(validText_, aText);
  validText_ = aText;
  TakeRunning(settings_, checked->settings);
  spdlog::set_level(spdlog::level::from_str(settings_.logLevel));
  sink_(settings_);
  spdlog::info("[node] Settings read again. taken={} needs_restart={}",
               Join(changed, true),
               Join(changed, false));
}

std::optional<SettingsReload::Stamp>
SettingsReload::StampOf(const std::string& aPath)
{
  struct stat status = {};
  if (stat(aPath.c_str(), &status) != 0) {
    return std::nullopt;
  }
  return Stamp{
    status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_ino, status.st_size
  };
}

} // namespace teaselhold::daemon
