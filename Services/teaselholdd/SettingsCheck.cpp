#include "Services/teaselholdd/SettingsCheck.h"

#include "Transport/SocketAddress.h"

#include <algorithm>
#include <array>

namespace teaselhold::daemon {

namespace {

using protocol::IniDocument;
using protocol::ProtocolErrorCode;

bool
IsWildcard(const std::string& aHost)
{
  return aHost == "0.0.0.0" || aHost == "::";
}

bool
IsLoopback(const std::string& aHost)
{
  return aHost.starts_with("127.") || aHost == "::1";
}

/// One address of the settings and where it stands.
struct PlacedAddress
{
  std::string key;
  std::size_t line;
  std::string text;
  transport::SocketAddress address;
};

/// Two addresses that cannot be open at the same time.
bool
Collide(const transport::SocketAddress& aLeft,
        const transport::SocketAddress& aRight)
{
  return aLeft.port == aRight.port &&
         (aLeft.host == aRight.host || IsWildcard(aLeft.host) ||
          IsWildcard(aRight.host));
}

class Checker
{
public:
  Checker(const Settings& aSettings, const IniDocument& aDocument)
    : settings_(aSettings)
    , document_(aDocument)
  {
  }

  SettingsFindings Check()
  {
    const std::vector<PlacedAddress> own = OwnAddresses();
    for (std::size_t i = 0; i < own.size(); ++i) {
      for (std::size_t j = i + 1; j < own.size(); ++j) {
        CheckDistinct(own[i], own[j]);
      }
    }
    const auto upstream =
      Place("upstream", "address", settings_.upstreamAddress);
    const auto store = Place("store", "address", settings_.storeAddress);
    for (const auto& address : own) {
      CheckDistinct(address, upstream);
      // The store is on another host, whose ports do not matter here.
      if (!IsWildcard(address.address.host) || IsLoopback(store.address.host)) {
        CheckDistinct(address, store);
      }
    }
    CheckAnnounced("data_address", settings_.dataAddress);
    if (!settings_.controlAddress.empty()) {
      CheckAnnounced("control_address", settings_.controlAddress);
    }
    if (settings_.environment == Environment::Standalone) {
      CheckSeeds();
    }
    if (!settings_.adminAddress.empty()) {
      CheckAdmin();
    }
    CheckRelay();
    if (settings_.revokesStrictly) {
      CheckStrictRevocation();
    }
    return std::move(findings_);
  }

private:
  std::size_t LineOf(const std::string& aSection, const std::string& aKey) const
  {
    const auto& sections = document_.Sections();
    const auto section =
      std::ranges::find(sections, aSection, &protocol::IniSection::name);
    const auto* entry =
      section == sections.end() ? nullptr : section->Find(aKey);
    return entry == nullptr ? 0 : entry->line;
  }

  PlacedAddress Place(const std::string& aSection,
                      const std::string& aKey,
                      const std::string& aText) const
  {
    return { aSection == "node" ? aKey : aSection + "." + aKey,
             LineOf(aSection, aKey),
             aText,
             *transport::ParseSocketAddress(aText) };
  }

  std::vector<PlacedAddress> OwnAddresses() const
  {
    std::vector<PlacedAddress> addresses;
    addresses.push_back(
      Place("node", "caller_address", settings_.callerAddress));
    addresses.push_back(Place("node", "data_address", settings_.dataAddress));
    const std::array<std::pair<const char*, const std::string*>, 5> optional{ {
      { "control_address", &settings_.controlAddress },
      { "admin_address", &settings_.adminAddress },
      { "metrics_address", &settings_.metricsAddress },
      { "ready_address", &settings_.readyAddress },
      { "announcement_address", &settings_.announcementAddress },
    } };
    for (const auto& [key, text] : optional) {
      if (!text->empty()) {
        addresses.push_back(Place("node", key, *text));
      }
    }
    return addresses;
  }

  void CheckDistinct(const PlacedAddress& aLeft, const PlacedAddress& aRight)
  {
    if (!Collide(aLeft.address, aRight.address)) {
      return;
    }
    const bool leftFirst = aLeft.line < aRight.line;
    const auto& first = leftFirst ? aLeft : aRight;
    const auto& second = leftFirst ? aRight : aLeft;
    findings_.errors.push_back({ ProtocolErrorCode::InvalidValue,
                                 second.line,
                                 "\"" + second.key + "\" " + second.text +
                                   " uses the same port as \"" + first.key +
                                   "\" in line " + std::to_string(first.line) +
                                   "; expected a port of its own" });
  }

  /// Other nodes connect to these addresses, so each must name one host.
  void CheckAnnounced(const std::string& aKey, const std::string& aText)
  {
    if (IsWildcard(transport::ParseSocketAddress(aText)->host)) {
      findings_.errors.push_back(
        { ProtocolErrorCode::InvalidValue,
          LineOf("node", aKey),
          "\"" + aKey + "\" " + aText +
            " is announced to other nodes; expected the host's IP address" });
    }
  }

  void CheckSeeds()
  {
    const bool onlySelf =
      std::ranges::all_of(settings_.seeds, [this](const std::string& aSeed) {
        return aSeed == settings_.controlAddress;
      });
    if (onlySelf) {
      Warn("seeds",
           "\"seeds\" name only this node; it finds no other node unless other "
           "nodes name it");
    }
  }

  void CheckRelay()
  {
    if (settings_.environment == Environment::Platform &&
        settings_.distribution == DistributionMode::Relay) {
      findings_.errors.push_back(
        { ProtocolErrorCode::InvalidValue,
          LineOf("node", "environment"),
          "\"environment = platform\" needs \"distribution = direct\"" });
    }
  }

  void CheckStrictRevocation()
  {
    const auto line = LineOf("accounts", "revoke_strictly");
    if (settings_.revokeBound.count() == 0) {
      findings_.errors.push_back(
        { ProtocolErrorCode::InvalidValue,
          line,
          "\"revoke_strictly = yes\" needs \"revoke_bound\"" });
    }
    // Only there do nodes tell each other how recent their configuration is.
    if (settings_.distribution == DistributionMode::Relay) {
      findings_.errors.push_back(
        { ProtocolErrorCode::InvalidValue,
          line,
          "\"revoke_strictly = yes\" needs \"distribution = direct\"" });
    }
  }

  void CheckAdmin()
  {
    if (!IsLoopback(
          transport::ParseSocketAddress(settings_.adminAddress)->host)) {
      Warn("admin_address",
           "\"admin_address\" " + settings_.adminAddress +
             " is not on loopback; whoever reaches it can change the "
             "configuration");
    }
  }

  void Warn(const std::string& aKey, std::string aMessage)
  {
    findings_.warnings.push_back({ ProtocolErrorCode::InvalidValue,
                                   LineOf("node", aKey),
                                   std::move(aMessage) });
  }

  const Settings& settings_;
  const IniDocument& document_;
  SettingsFindings findings_;
};

} // namespace

SettingsFindings
CheckSettings(const Settings& aSettings, const IniDocument& aDocument)
{
  return Checker(aSettings, aDocument).Check();
}

} // namespace teaselhold::daemon
