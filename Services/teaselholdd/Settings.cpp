#include "Services/teaselholdd/Settings.h"

#include "Protocol/IniDocument.h"
#include "State/EnumNames.h"
#include "Transport/SocketAddress.h"

#include <charconv>
#include <functional>
#include <map>

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

/// Stores a value; returns what was expected if the value is bad.
using Reader = std::function<std::string(const std::string&)>;

struct Field
{
  std::string section;
  std::string key;
  bool required;
  Reader reader;
};

Reader
ReadText(std::string& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    aTarget = aValue;
    return aValue.empty() ? "a value" : "";
  };
}

Reader
ReadAddress(std::string& aTarget)
{
  return [&aTarget](const std::string& aValue) -> std::string {
    aTarget = aValue;
    return transport::ParseSocketAddress(aValue) ? "" : "IP:PORT";
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
        return "a list of IP:PORT, separated by commas";
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
    if (result.ec != std::errc() || number == 0 || number > 3600000 ||
        (unit != "ms" && unit != "s")) {
      return "a time such as \"500ms\" or \"30s\"";
    }
    aTarget = std::chrono::milliseconds(std::uint64_t{ number } *
                                        (unit == "s" ? 1000 : 1));
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

std::vector<Field>
MakeFields(Settings& aSettings)
{
  auto& s = aSettings;
  return {
    { "node", "name", true, ReadText(s.nodeName) },
    { "node", "service", true, ReadText(s.service) },
    { "node", "data_centre", true, ReadText(s.dataCentre) },
    { "node", "region", true, ReadText(s.region) },
    { "node", "caller_address", true, ReadAddress(s.callerAddress) },
    { "node", "data_address", true, ReadAddress(s.dataAddress) },
    { "node", "control_address", true, ReadAddress(s.controlAddress) },
    { "node", "admin_address", true, ReadAddress(s.adminAddress) },
    { "node", "metrics_address", false, ReadAddress(s.metricsAddress) },
    { "node", "seeds", true, ReadAddresses(s.seeds) },
    { "node", "drain_timeout", false, ReadTime(s.drainTimeout) },
    { "node", "distribution", false, ReadDistribution(s.distribution) },
    { "store", "address", true, ReadAddress(s.storeAddress) },
    { "upstream", "address", true, ReadAddress(s.upstreamAddress) },
    { "upstream", "health_path", false, ReadText(s.upstreamHealthPath) },
    { "upstream", "slots", false, ReadNumber(s.upstreamSlots, 1, 10000) },
    { "upstream", "probe_interval", false, ReadTime(s.upstreamProbeInterval) },
    { "upstream",
      "shed_is_not_run",
      false,
      ReadYesOrNo(s.upstreamShedIsNotRun) },
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

  std::vector<ProtocolError> Read(const IniDocument& aDocument)
  {
    for (const auto& section : aDocument.Sections()) {
      for (const auto& entry : section.entries) {
        ReadEntry(section, entry);
      }
    }
    for (const auto& field : fields_) {
      if (field.required && !seen_.contains(field.section + "." + field.key)) {
        errors_.push_back({ ProtocolErrorCode::InvalidValue,
                            0,
                            "key \"" + field.key + "\" is missing in [" +
                              field.section + "]" });
      }
    }
    return std::move(errors_);
  }

private:
  void ReadEntry(const IniSection& aSection, const IniEntry& aEntry)
  {
    std::string expected;
    for (const auto& field : fields_) {
      if (field.section != aSection.name) {
        continue;
      }
      if (field.key == aEntry.key) {
        seen_.insert({ field.section + "." + field.key, true });
        ReadValue(field, aEntry);
        return;
      }
      expected += (expected.empty() ? "" : ", ") + field.key;
    }
    errors_.push_back(
      { ProtocolErrorCode::UnknownName,
        aEntry.line,
        "unknown key \"" + aEntry.key + "\" in [" + aSection.name + "]" +
          (expected.empty()
             ? "; expected the sections node, store, upstream and log"
             : "; expected " + expected) });
  }

  void ReadValue(const Field& aField, const IniEntry& aEntry)
  {
    const auto expected = aField.reader(aEntry.value);
    if (!expected.empty()) {
      errors_.push_back({ ProtocolErrorCode::InvalidValue,
                          aEntry.line,
                          "bad value \"" + aEntry.value + "\" for \"" +
                            aEntry.key + "\"; expected " + expected });
    }
  }

  std::vector<Field> fields_;
  std::map<std::string, bool> seen_;
  std::vector<ProtocolError> errors_;
};

} // namespace

tl::expected<Settings, std::vector<ProtocolError>>
ParseSettings(std::string_view aText)
{
  const auto document = IniDocument::Parse(aText);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  Settings settings;
  auto errors = SettingsReader(MakeFields(settings)).Read(*document);
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return settings;
}

} // namespace teaselhold::daemon
