#include "Services/teaselholdd/Settings.h"

#include "Protocol/IniDocument.h"
#include "Protocol/Suggestion.h"
#include "Services/teaselholdd/SettingsCheck.h"
#include "State/EnumNames.h"
#include "Transport/SocketAddress.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>

namespace teaselhold::daemon {

namespace {

using protocol::IniDocument;
using protocol::IniEntry;
using protocol::IniSection;
using protocol::ProtocolError;
using protocol::ProtocolErrorCode;

constexpr std::array<state::EnumName<DistributionMode>, 2> kDistributionNames{ {
  { DistributionMode::Relay, "relay" },
  { DistributionMode::Direct, "direct" },
} };

constexpr std::array<state::EnumName<Environment>, 2> kEnvironmentNames{ {
  { Environment::Standalone, "standalone" },
  { Environment::Platform, "platform" },
} };

constexpr unsigned kMaxLinkMegabits = 1000000;
constexpr unsigned kMaxCores = 1024;
constexpr std::uint32_t kMaxMilliseconds = 3600 * 1000;

/// Stores a value; returns what was expected if the value is bad.
using Reader = std::function<std::string(const std::string&)>;

struct Field
{
  std::string section;
  std::string key;
  bool required;
  Reader reader;
};

/// A name that goes into messages, logs and metric labels.
Reader
ReadName(std::string& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    constexpr std::size_t kMaxLength = 63;
    aTarget = aValue;
    const bool valid =
      !aValue.empty() && aValue.size() <= kMaxLength &&
      std::ranges::all_of(aValue, [](unsigned char aCharacter) {
        return std::isalnum(aCharacter) != 0 || aCharacter == '-' ||
               aCharacter == '_' || aCharacter == '.';
      });
    return valid ? "" : "1 to 63 of letters, digits, \"-\", \"_\" and \".\"";
  };
}

Reader
ReadPath(std::string& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    aTarget = aValue;
    const bool valid = aValue.starts_with('/') &&
                       aValue.find_first_of(" #") == std::string::npos;
    return valid ? "" : "a path such as \"/health\"";
  };
}

Reader
ReadAddress(std::string& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    aTarget = aValue;
    return transport::ParseSocketAddress(aValue)
             ? ""
             : "IP:PORT with a port from 1 to 65535, such as 10.1.0.7:7401";
  };
}

Reader
ReadAddresses(std::vector<std::string>& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    std::size_t start = 0;
    while (start <= aValue.size()) {
      const auto comma = std::min(aValue.find(',', start), aValue.size());
      auto part = aValue.substr(start, comma - start);
      part.erase(0, part.find_first_not_of(' '));
      part.erase(part.find_last_not_of(' ') + 1);
      if (!transport::ParseSocketAddress(part)) {
        return "IP:PORT, several of them separated by commas";
      }
      aTarget.push_back(std::move(part));
      start = comma + 1;
    }
    return "";
  };
}

Reader
ReadNumber(std::uint32_t& aTarget, std::uint32_t aMin, std::uint32_t aMax)
{
  return [&aTarget, aMin, aMax](const std::string& aValue) -> std::string {
    const auto* end = aValue.data() + aValue.size();
    const auto result = std::from_chars(aValue.data(), end, aTarget);
    const bool valid = result.ec == std::errc() && result.ptr == end &&
                       aTarget >= aMin && aTarget <= aMax;
    return valid ? ""
                 : "a whole number from " + std::to_string(aMin) + " to " +
                     std::to_string(aMax);
  };
}

Reader
ReadTime(std::chrono::milliseconds& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    std::uint32_t number = 0;
    const auto* end = aValue.data() + aValue.size();
    const auto result = std::from_chars(aValue.data(), end, number);
    const std::string unit(result.ptr, end);
    const std::uint32_t factor = unit == "s" ? 1000 : 1;
    if (result.ec != std::errc() || number == 0 ||
        number > kMaxMilliseconds / factor || (unit != "ms" && unit != "s")) {
      return "a time from 1ms to 3600s, such as \"500ms\" or \"30s\"";
    }
    aTarget = std::chrono::milliseconds(number * factor);
    return "";
  };
}

Reader
ReadLogLevel(std::string& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    aTarget = aValue;
    const bool valid = aValue == "debug" || aValue == "info" ||
                       aValue == "warning" || aValue == "error";
    return valid ? "" : "debug, info, warning or error";
  };
}

Reader
ReadYesOrNo(bool& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    aTarget = aValue == "yes";
    return aTarget || aValue == "no" ? "" : "yes or no";
  };
}

Reader
ReadDistribution(DistributionMode& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    const auto mode = state::FindEnumValue(kDistributionNames, aValue);
    aTarget = mode.value_or(DistributionMode::Relay);
    return mode ? "" : "relay or direct";
  };
}

Reader
ReadEnvironment(Environment& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    const auto environment = state::FindEnumValue(kEnvironmentNames, aValue);
    aTarget = environment.value_or(Environment::Standalone);
    return environment ? "" : "standalone or platform";
  };
}

Reader
ReadDecimal(double& aTarget, unsigned aMax)
{
  return [&aTarget, aMax](const std::string& aValue) -> std::string {
    const auto* end = aValue.data() + aValue.size();
    const auto result = std::from_chars(aValue.data(), end, aTarget);
    const bool valid = result.ec == std::errc() && result.ptr == end &&
                       aTarget >= 0 && aTarget <= aMax;
    return valid ? "" : "a number from 0 to " + std::to_string(aMax);
  };
}

/// @return true if the document says that the node runs on the platform, which
/// has no use for some of the required keys.
bool
IsForPlatform(const IniDocument& aDocument)
{
  const auto& sections = aDocument.Sections();
  const auto node = std::ranges::find(sections, "node", &IniSection::name);
  const auto* entry =
    node == sections.end() ? nullptr : node->Find("environment");
  return entry != nullptr && entry->value == "platform";
}

std::vector<Field>
MakeFields(Settings& aSettings, bool aIsForPlatform)
{
  auto& s = aSettings;
  const bool hasTool = !aIsForPlatform;
  return {
    { "node", "name", true, ReadName(s.nodeName) },
    { "node", "service", true, ReadName(s.service) },
    { "node", "data_centre", true, ReadName(s.dataCentre) },
    { "node", "region", true, ReadName(s.region) },
    { "node", "caller_address", true, ReadAddress(s.callerAddress) },
    { "node", "data_address", true, ReadAddress(s.dataAddress) },
    { "node", "control_address", hasTool, ReadAddress(s.controlAddress) },
    { "node", "admin_address", hasTool, ReadAddress(s.adminAddress) },
    { "node", "metrics_address", false, ReadAddress(s.metricsAddress) },
    { "node", "seeds", hasTool, ReadAddresses(s.seeds) },
    { "node", "environment", false, ReadEnvironment(s.environment) },
    { "node", "ready_address", false, ReadAddress(s.readyAddress) },
    { "node", "ready_path", false, ReadPath(s.readyPath) },
    { "node",
      "announcement_address",
      aIsForPlatform,
      ReadAddress(s.announcementAddress) },
    { "node",
      "link_megabits",
      false,
      ReadDecimal(s.linkMegabits, kMaxLinkMegabits) },
    { "node", "core_share", false, ReadDecimal(s.coreShare, kMaxCores) },
    { "node", "drain_timeout", false, ReadTime(s.drainTimeout) },
    { "node", "apply_bound", false, ReadTime(s.applyBound) },
    { "node", "distribution", false, ReadDistribution(s.distribution) },
    { "store", "address", true, ReadAddress(s.storeAddress) },
    { "upstream", "address", true, ReadAddress(s.upstreamAddress) },
    { "upstream", "health_path", false, ReadPath(s.upstreamHealthPath) },
    { "upstream", "slots", false, ReadNumber(s.upstreamSlots, 1, 10000) },
    { "upstream", "probe_interval", false, ReadTime(s.upstreamProbeInterval) },
    { "upstream",
      "shed_is_not_run",
      false,
      ReadYesOrNo(s.upstreamShedIsNotRun) },
    { "upstream", "drain", false, ReadTime(s.upstreamDrain) },
    { "upstream", "paced", false, ReadYesOrNo(s.upstreamPaced) },
    { "retry", "ratio", false, ReadDecimal(s.retryRatio, 1) },
    { "retry", "slack", false, ReadNumber(s.retrySlack, 0, 1000000) },
    { "retry", "window", false, ReadTime(s.retryWindow) },
    { "host",
      "memory_megabytes",
      false,
      ReadNumber(s.memoryMegabytes, 16, 1000000) },
    { "host",
      "max_descriptors",
      false,
      ReadNumber(s.maxDescriptors, 256, 10000000) },
    { "accounts", "revoke_bound", false, ReadTime(s.revokeBound) },
    { "accounts", "revoke_strictly", false, ReadYesOrNo(s.revokesStrictly) },
    { "accounts", "quota_window", false, ReadTime(s.quotaWindow) },
    { "accounts", "quota_overage", false, ReadDecimal(s.quotaOverage, 10) },
    { "accounts", "quota_slack", false, ReadNumber(s.quotaSlack, 0, 1000000) },
    { "rollouts", "enabled", false, ReadYesOrNo(s.rolloutsEnabled) },
    { "rollouts", "exposure_share", false, ReadDecimal(s.exposureShare, 1) },
    { "rollouts",
      "exposure_slack",
      false,
      ReadNumber(s.exposureSlack, 0, 1000000) },
    { "rollouts", "rollback_bound", false, ReadTime(s.rollbackBound) },
    { "log", "level", false, ReadLogLevel(s.logLevel) },
  };
}

/// Fills the fields from a document and collects the errors.
class SettingsReader
{
public:
  explicit SettingsReader(std::vector<Field> aFields)
    : fields_(std::move(aFields))
  {
  }

  /// @param aIsWhole false if lines of the document could not be read; keys are
  /// then not reported as missing.
  void Read(const IniDocument& aDocument, bool aIsWhole)
  {
    for (const auto& section : aDocument.Sections()) {
      ReadSection(section);
    }
    if (aIsWhole) {
      CheckRequired(aDocument);
    }
  }

  std::vector<ProtocolError> errors_;

private:
  void Fail(ProtocolErrorCode aCode, std::size_t aLine, std::string aMessage)
  {
    errors_.push_back({ aCode, aLine, std::move(aMessage) });
  }

  std::vector<std::string_view> Names(std::string_view aSection) const
  {
    std::vector<std::string_view> names;
    for (const auto& field : fields_) {
      if (aSection.empty() &&
          (names.empty() || names.back() != field.section)) {
        names.push_back(field.section);
      } else if (field.section == aSection) {
        names.push_back(field.key);
      }
    }
    return names;
  }

  void ReadSection(const IniSection& aSection)
  {
    const auto sections = Names("");
    if (std::ranges::find(sections, aSection.name) == sections.end()) {
      Fail(ProtocolErrorCode::UnknownName,
           aSection.line,
           "unknown section [" + aSection.name + "]; expected the sections " +
             protocol::JoinNames(sections) +
             protocol::SuggestName(aSection.name, sections));
      return;
    }
    for (const auto& entry : aSection.entries) {
      ReadEntry(aSection, entry);
    }
  }

  void ReadEntry(const IniSection& aSection, const IniEntry& aEntry)
  {
    const auto field = std::ranges::find_if(fields_, [&](const Field& aField) {
      return aField.section == aSection.name && aField.key == aEntry.key;
    });
    if (field == fields_.end()) {
      const auto keys = Names(aSection.name);
      Fail(ProtocolErrorCode::UnknownName,
           aEntry.line,
           "unknown key \"" + aEntry.key + "\" in [" + aSection.name +
             "]; expected " + protocol::JoinNames(keys) +
             protocol::SuggestName(aEntry.key, keys));
      return;
    }
    const auto expected = field->reader(aEntry.value);
    if (!expected.empty()) {
      Fail(ProtocolErrorCode::InvalidValue,
           aEntry.line,
           "bad value \"" + aEntry.value + "\" for \"" + aEntry.key +
             "\"; expected " + expected);
    }
  }

  void CheckRequired(const IniDocument& aDocument)
  {
    std::set<std::string> missingSections;
    for (const auto& field : fields_) {
      const auto& sections = aDocument.Sections();
      const auto section =
        std::ranges::find(sections, field.section, &IniSection::name);
      if (!field.required || missingSections.contains(field.section)) {
        continue;
      }
      if (section == sections.end()) {
        missingSections.insert(field.section);
        Fail(ProtocolErrorCode::InvalidValue,
             0,
             "section [" + field.section + "] is missing");
      } else if (section->Find(field.key) == nullptr) {
        Fail(ProtocolErrorCode::InvalidValue,
             section->line,
             "key \"" + field.key + "\" is missing in [" + field.section + "]");
      }
    }
  }

  std::vector<Field> fields_;
};

} // namespace

tl::expected<CheckedSettings, std::vector<ProtocolError>>
ParseSettings(std::string_view aText)
{
  std::vector<ProtocolError> errors;
  const auto document = IniDocument::ParseReadable(aText, errors);
  CheckedSettings result;
  SettingsReader reader(MakeFields(result.settings, IsForPlatform(document)));
  reader.Read(document, errors.empty());
  errors.insert(errors.end(), reader.errors_.begin(), reader.errors_.end());
  if (errors.empty()) {
    auto findings = CheckSettings(result.settings, document);
    errors = std::move(findings.errors);
    result.warnings = std::move(findings.warnings);
  }
  if (!errors.empty()) {
    std::ranges::stable_sort(errors, {}, &ProtocolError::line);
    return tl::make_unexpected(std::move(errors));
  }
  return result;
}

double
LinkBytesPerSecond(const Settings& aSettings)
{
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return aSettings.linkMegabits * kBytesPerMegabit;
}

} // namespace teaselhold::daemon
