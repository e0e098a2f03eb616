#include "Protocol/ConfigurationText.h"

#include "Protocol/Configurations/BuiltConfiguration.h"
#include "Protocol/Configurations/ConfigurationEncoding.h"
#include "Protocol/IniDocument.h"
#include "Protocol/Suggestion.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>

namespace teaselhold::protocol {

namespace {

constexpr std::size_t kMaxServices = 2000;
/// More than fit into a document of 1 MB.
constexpr std::size_t kMaxRoutes = 20000;
constexpr std::size_t kMaxNameLength = 63;
constexpr std::uint32_t kMaxAttempts = 16;
constexpr std::uint32_t kMaxWeight = 1000000;
constexpr std::uint32_t kMaxPriority = 1000;
constexpr double kMaxRequestsPerSecond = 1e6;
constexpr std::chrono::milliseconds kMaxTimeout = std::chrono::minutes(10);

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::ranges::all_of(aText, [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  (aCharacter >= '0' && aCharacter <= '9') ||
                  aCharacter == '-' || aCharacter == '_' || aCharacter == '.';
         });
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const auto comma = aText.find(',');
    auto part = aText.substr(0, comma);
    const auto first = part.find_first_not_of(" \t");
    const auto last = part.find_last_not_of(" \t");
    if (first != std::string_view::npos) {
      parts.emplace_back(part.substr(first, last - first + 1));
    }
    aText = comma == std::string_view::npos ? std::string_view{}
                                            : aText.substr(comma + 1);
  }
  return parts;
}

/// Compiles one document, collecting errors.
class Compiler
{
public:
  BuildResult Compile(const IniDocument& aDocument,
                      std::vector<ProtocolError> aSyntaxErrors,
                      std::string_view aText,
                      state::Generation aGeneration)
  {
    // A name or key in an unreadable line would be reported as missing.
    isWhole_ = aSyntaxErrors.empty();
    errors_ = std::move(aSyntaxErrors);
    for (const auto& section : aDocument.Sections()) {
      ReadSection(section);
    }
    CheckLimits();
    if (isWhole_) {
      CheckReferences();
      CheckCycles();
    }
    if (!errors_.empty()) {
      std::ranges::stable_sort(errors_, {}, &ProtocolError::line);
      return tl::make_unexpected(std::move(errors_));
    }
    return BuildConfiguration({ std::move(services_),
                                std::move(routes_),
                                std::move(accounts_),
                                limits_ },
                              aText,
                              aGeneration);
  }

private:
  void Fail(ProtocolErrorCode aCode, std::size_t aLine, std::string aMessage)
  {
    errors_.push_back({ aCode, aLine, std::move(aMessage) });
  }

  void ReadSection(const IniSection& aSection)
  {
    const auto space = aSection.name.find(' ');
    const auto kind = aSection.name.substr(0, space);
    const auto name =
      space == std::string::npos ? "" : aSection.name.substr(space + 1);
    if (aSection.name == "mesh") {
      ReadMesh(aSection);
      return;
    }
    if (aSection.name == "limits") {
      ReadLimits(aSection);
      return;
    }
    const bool isAccount = kind == "account" || kind == "tenant";
    if (kind != "service" && kind != "route" && !isAccount) {
      Fail(
        ProtocolErrorCode::UnknownName,
        aSection.line,
        "unknown section [" + aSection.name +
          "]; expected [service NAME], [route NAME], [account NAME], [limits] "
          "or [mesh]" +
          SuggestName(kind,
                      { "service", "route", "account", "limits", "mesh" }));
      return;
    }
    if (!IsName(name)) {
      Fail(ProtocolErrorCode::InvalidValue,
           aSection.line,
           "bad " + kind + " name \"" + name +
             "\"; expected 1 to 63 of letters, digits, \"-\", \"_\" and "
             "\".\"");
      return;
    }
    if (kind == "service") {
      ReadService(aSection, name);
    } else if (kind == "route") {
      ReadRoute(aSection, name);
    } else {
      ReadAccount(aSection, name);
    }
  }

  void CheckKeys(const IniSection& aSection,
                 const std::vector<std::string_view>& aAllowed)
  {
    for (const auto& entry : aSection.entries) {
      if (std::ranges::find(aAllowed, entry.key) == aAllowed.end()) {
        Fail(ProtocolErrorCode::UnknownName,
             entry.line,
             "unknown key \"" + entry.key + "\" in [" + aSection.name +
               "]; expected " + JoinNames(aAllowed) +
               SuggestName(entry.key, aAllowed));
      }
    }
  }

  void ReadMesh(const IniSection& aSection)
  {
    CheckKeys(aSection, { "cycles" });
    if (const auto* entry = aSection.Find("cycles")) {
      if (entry->value != "refused" && entry->value != "allowed") {
        BadValue(*entry, "\"refused\" or \"allowed\"");
      }
      cyclesAllowed_ = entry->value == "allowed";
    }
  }

  void ReadLimits(const IniSection& aSection)
  {
    CheckKeys(aSection,
              { "max_header_bytes",
                "max_body_bytes",
                "header_timeout",
                "idle_timeout" });
    state::ClientLimits limits;
    limits.maxHeaderBytes =
      ReadBytes(aSection, "max_header_bytes", limits.maxHeaderBytes);
    limits.maxBodyBytes =
      ReadBytes(aSection,
                "max_body_bytes",
                static_cast<std::uint32_t>(limits.maxBodyBytes));
    if (const auto* entry = aSection.Find("header_timeout")) {
      limits.headerTimeout = ReadTimeout(*entry);
    }
    if (const auto* entry = aSection.Find("idle_timeout")) {
      limits.idleTimeout = ReadTimeout(*entry);
    }
    limits_ = limits;
  }

  std::uint32_t ReadBytes(const IniSection& aSection,
                          std::string_view aKey,
                          std::uint32_t aDefault)
  {
    const auto* entry = aSection.Find(aKey);
    if (entry == nullptr) {
      return aDefault;
    }
    const auto value = ReadNumber(entry->value);
    if (!value || *value == 0) {
      BadValue(*entry, "a whole number of bytes above 0");
    }
    return value.value_or(aDefault);
  }

  void ReadService(const IniSection& aSection, const std::string& aName)
  {
    CheckKeys(aSection, { "depends", "entry" });
    state::ServiceSpec service;
    service.name = aName;
    if (const auto* entry = aSection.Find("depends")) {
      service.dependencies = SplitList(entry->value);
      dependencyLines_[aName] = entry->line;
    }
    if (const auto* entry = aSection.Find("entry")) {
      service.isEntry = ReadFlag(*entry);
    }
    serviceNames_.insert(aName);
    services_.push_back(std::move(service));
  }

  void ReadRoute(const IniSection& aSection, const std::string& aName)
  {
    CheckKeys(aSection,
              { "match",
                "host",
                "service",
                "targets",
                "class",
                "idempotent",
                "timeout",
                "latency_objective",
                "max_attempts",
                "priority",
                "public" });
    state::RouteSpec route;
    route.name = aName;
    if (const auto* entry = aSection.Find("host")) {
      ReadHost(*entry, route);
    }
    if (const auto* entry = Require(aSection, "match")) {
      ReadMatch(*entry, route);
    }
    ReadServices(aSection, route);
    if (const auto* entry = aSection.Find("latency_objective")) {
      route.latencyObjective = ReadTimeout(*entry);
    }
    if (const auto* entry = aSection.Find("max_attempts")) {
      const auto value = ReadNumber(entry->value);
      if (!value || *value == 0 || *value > kMaxAttempts) {
        BadValue(*entry, "a whole number from 1 to 16");
      }
      route.maxAttempts = value.value_or(1);
    }
    if (const auto* entry = Require(aSection, "class")) {
      const auto value =
        state::FindEnumValue(state::kRequestClassNames, entry->value);
      if (!value) {
        BadValue(*entry, "order, check, lookup, upload or batch");
      }
      route.requestClass = value.value_or(state::RequestClass::Lookup);
    }
    if (const auto* entry = Require(aSection, "idempotent")) {
      route.isIdempotent = ReadFlag(*entry);
    }
    if (const auto* entry = aSection.Find("timeout")) {
      route.timeout = ReadTimeout(*entry);
    }
    route.priority = ReadPriority(aSection).value_or(state::kDefaultPriority);
    if (const auto* entry = aSection.Find("public")) {
      route.isPublic = ReadFlag(*entry);
    }
    routes_.push_back(std::move(route));
  }

  void ReadHost(const IniEntry& aEntry, state::RouteSpec& aRoute)
  {
    aRoute.host = aEntry.value;
    const bool valid =
      !aEntry.value.empty() &&
      std::ranges::all_of(aEntry.value, [](unsigned char aCharacter) {
        return std::isalnum(aCharacter) != 0 || aCharacter == '.' ||
               aCharacter == '-' || aCharacter == '_';
      });
    if (!valid) {
      BadValue(aEntry, "a host name without a port");
    }
  }

  /// Reads `service = NAME` or `targets = NAME:WEIGHT, NAME:WEIGHT`.
  void ReadServices(const IniSection& aSection, state::RouteSpec& aRoute)
  {
    const auto* targets = aSection.Find("targets");
    if (targets == nullptr) {
      if (const auto* entry = Require(aSection, "service")) {
        aRoute.service = entry->value;
        routeLines_[aRoute.name] = entry->line;
      }
      return;
    }
    routeLines_[aRoute.name] = targets->line;
    for (const auto& part : SplitList(targets->value)) {
      const auto colon = part.rfind(':');
      const auto weight =
        colon == std::string::npos
          ? std::nullopt
          : ReadNumber(std::string_view(part).substr(colon + 1));
      if (!weight || *weight > kMaxWeight) {
        BadValue(*targets,
                 "\"NAME:WEIGHT, NAME:WEIGHT\" with weights up to "
                 "1000000");
        return;
      }
      aRoute.targets.push_back({ part.substr(0, colon), *weight });
    }
    const bool hasWeight = std::ranges::any_of(
      aRoute.targets,
      [](const state::RouteTarget& aTarget) { return aTarget.weight > 0; });
    if (!hasWeight) {
      BadValue(*targets, "at least one target with a weight above 0");
    }
    if (aSection.Find("service") != nullptr) {
      Fail(ProtocolErrorCode::InvalidValue,
           targets->line,
           "[" + aSection.name + "] has both \"service\" and \"targets\"");
    }
  }

  std::optional<std::uint32_t> ReadPriority(const IniSection& aSection)
  {
    const auto* entry = aSection.Find("priority");
    if (entry == nullptr) {
      return std::nullopt;
    }
    const auto value = ReadNumber(entry->value);
    if (!value || *value > kMaxPriority) {
      BadValue(*entry, "a whole number from 0 to 1000");
    }
    return value;
  }

  void ReadAccount(const IniSection& aSection, const std::string& aName)
  {
    CheckKeys(aSection,
              { "max_in_flight", "key_digests", "priority", "rate", "burst" });
    state::AccountSpec account;
    account.name = aName;
    if (const auto* entry = aSection.Find("max_in_flight")) {
      const auto value = ReadNumber(entry->value);
      if (!value || *value == 0 || *value > 100000) {
        BadValue(*entry, "a whole number from 1 to 100000");
      }
      account.maxInFlight = value.value_or(1);
    }
    account.priority = ReadPriority(aSection);
    ReadKeyDigests(aSection, account);
    ReadQuota(aSection, account);
    accounts_.push_back(std::move(account));
  }

  void ReadKeyDigests(const IniSection& aSection, state::AccountSpec& aAccount)
  {
    const auto* entry = aSection.Find("key_digests");
    if (entry == nullptr) {
      return;
    }
    for (const auto& text : SplitList(entry->value)) {
      const auto digest = state::ParseDigest(text);
      if (!digest) {
        // The value is not repeated: it may be a key by mistake.
        Fail(ProtocolErrorCode::InvalidValue,
             entry->line,
             "bad value for \"key_digests\"; expected SHA-256 digests of 64 "
             "lower-case hexadecimal digits");
        continue;
      }
      const auto known = keyAccounts_.emplace(*digest, aAccount.name);
      if (!known.second) {
        Fail(ProtocolErrorCode::InvalidValue,
             entry->line,
             "account \"" + aAccount.name + "\" has a key of account \"" +
               known.first->second + "\"");
      }
      aAccount.keyDigests.push_back(*digest);
    }
  }

  void ReadQuota(const IniSection& aSection, state::AccountSpec& aAccount)
  {
    if (const auto* entry = aSection.Find("rate")) {
      const auto rate = ReadRate(entry->value);
      if (!rate) {
        BadValue(*entry, "requests per second from 0 to 1000000");
      }
      aAccount.requestsPerSecond = rate.value_or(0);
    }
    if (const auto* entry = aSection.Find("burst")) {
      const auto burst = ReadNumber(entry->value);
      if (!burst) {
        BadValue(*entry, "a whole number of requests");
      }
      aAccount.burst = burst.value_or(0);
    }
  }

  static std::optional<double> ReadRate(const std::string& aText)
  {
    double value = 0;
    const auto* end = aText.data() + aText.size();
    const auto result = std::from_chars(aText.data(), end, value);
    const bool isValid = result.ec == std::errc() && result.ptr == end &&
                         value >= 0 && value <= kMaxRequestsPerSecond;
    return isValid ? std::optional(value) : std::nullopt;
  }

  const IniEntry* Require(const IniSection& aSection, std::string_view aKey)
  {
    const auto* entry = aSection.Find(aKey);
    if (entry == nullptr && isWhole_) {
      Fail(ProtocolErrorCode::InvalidValue,
           aSection.line,
           "[" + aSection.name + "] needs the key \"" + std::string(aKey) +
             "\"");
    }
    return entry;
  }

  void BadValue(const IniEntry& aEntry, const std::string& aExpected)
  {
    Fail(ProtocolErrorCode::InvalidValue,
         aEntry.line,
         "bad value \"" + aEntry.value + "\" for \"" + aEntry.key +
           "\"; expected " + aExpected);
  }

  bool ReadFlag(const IniEntry& aEntry)
  {
    if (aEntry.value != "yes" && aEntry.value != "no") {
      BadValue(aEntry, "\"yes\" or \"no\"");
    }
    return aEntry.value == "yes";
  }

  static std::optional<std::uint32_t> ReadNumber(std::string_view aText)
  {
    std::uint32_t value = 0;
    const auto* end = aText.data() + aText.size();
    const auto result = std::from_chars(aText.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
      return std::nullopt;
    }
    return value;
  }

  std::chrono::milliseconds ReadTimeout(const IniEntry& aEntry)
  {
    std::string_view text = aEntry.value;
    std::uint32_t factor = 0;
    if (text.ends_with("ms")) {
      factor = 1;
      text.remove_suffix(2);
    } else if (text.ends_with("s")) {
      factor = 1000;
      text.remove_suffix(1);
    }
    const auto number = ReadNumber(text);
    const auto limit = static_cast<std::uint64_t>(kMaxTimeout.count());
    if (factor == 0 || !number || *number == 0 ||
        std::uint64_t{ *number } * factor > limit) {
      BadValue(aEntry, "a time from 1ms to 600s, such as \"800ms\" or \"2s\"");
      return std::chrono::milliseconds(1000);
    }
    return std::chrono::milliseconds(std::uint64_t{ *number } * factor);
  }

  void ReadMatch(const IniEntry& aEntry, state::RouteSpec& aRoute)
  {
    static const std::set<std::string> kMethods{ "GET",     "HEAD",
                                                 "POST",    "PUT",
                                                 "PATCH",   "DELETE",
                                                 "OPTIONS", state::kAnyMethod };
    const auto space = aEntry.value.find(' ');
    aRoute.method = aEntry.value.substr(0, space);
    aRoute.pathPrefix =
      space == std::string::npos ? "" : aEntry.value.substr(space + 1);
    const bool validPath =
      aRoute.pathPrefix.starts_with('/') &&
      aRoute.pathPrefix.find_first_of(" ?#") == std::string::npos;
    if (!kMethods.contains(aRoute.method) || !validPath) {
      BadValue(aEntry, "\"METHOD /path\", such as \"GET /passes\"");
      return;
    }
    const auto [other, added] =
      matches_.emplace(aRoute.host + " " + aEntry.value,
                       std::make_pair(aRoute.name, aEntry.line));
    if (!added) {
      Fail(ProtocolErrorCode::InvalidValue,
           aEntry.line,
           "route \"" + aRoute.name + "\" matches the same requests as \"" +
             other->second.first + "\" in line " +
             std::to_string(other->second.second));
    }
  }

  void CheckLimits()
  {
    if (services_.empty() && isWhole_) {
      // An empty file that is applied by mistake would end all traffic.
      Fail(ProtocolErrorCode::InvalidValue,
           0,
           "the text defines no service; expected at least one "
           "[service NAME]");
    }
    if (services_.size() > kMaxServices) {
      Fail(ProtocolErrorCode::TooLarge,
           0,
           std::to_string(services_.size()) + " services; at most " +
             std::to_string(kMaxServices) + " are allowed");
    }
    if (routes_.size() > kMaxRoutes) {
      Fail(ProtocolErrorCode::TooLarge,
           0,
           std::to_string(routes_.size()) + " routes; at most " +
             std::to_string(kMaxRoutes) + " are allowed");
    }
  }

  void CheckReferences()
  {
    for (const auto& service : services_) {
      for (const auto& dependency : service.dependencies) {
        CheckService(dependency,
                     dependencyLines_[service.name],
                     "service \"" + service.name + "\" depends on \"");
      }
    }
    for (const auto& route : routes_) {
      if (!routeLines_.contains(route.name)) {
        continue;
      }
      const auto prefix = "route \"" + route.name + "\" names service \"";
      if (route.targets.empty()) {
        CheckService(route.service, routeLines_[route.name], prefix);
      }
      for (const auto& target : route.targets) {
        CheckService(target.service, routeLines_[route.name], prefix);
      }
    }
  }

  void CheckService(const std::string& aName,
                    std::size_t aLine,
                    const std::string& aPrefix)
  {
    if (serviceNames_.contains(aName)) {
      return;
    }
    Fail(ProtocolErrorCode::UnknownName,
         aLine,
         aPrefix + aName + "\", which does not exist" + Suggest(aName));
  }

  std::string Suggest(const std::string& aName) const
  {
    return SuggestName(aName, { serviceNames_.begin(), serviceNames_.end() });
  }

  void CheckCycles()
  {
    // The limit also bounds the recursion depth of the search.
    if (cyclesAllowed_ || services_.size() > kMaxServices) {
      return;
    }
    std::map<std::string, const state::ServiceSpec*> byName;
    for (const auto& service : services_) {
      byName[service.name] = &service;
    }
    std::set<std::string> finished;
    for (const auto& service : services_) {
      std::vector<std::string> path;
      VisitForCycle(service.name, byName, finished, path);
    }
  }

  void VisitForCycle(
    const std::string& aName,
    const std::map<std::string, const state::ServiceSpec*>& aByName,
    std::set<std::string>& aFinished,
    std::vector<std::string>& aPath)
  {
    const auto found = aByName.find(aName);
    if (found == aByName.end() || aFinished.contains(aName)) {
      return;
    }
    const auto start = std::ranges::find(aPath, aName);
    if (start != aPath.end()) {
      std::string cycle;
      for (auto step = start; step != aPath.end(); ++step) {
        cycle += *step + " -> ";
      }
      Fail(ProtocolErrorCode::InvalidValue,
           dependencyLines_[aPath.back()],
           "dependency cycle " + cycle + aName +
             "; remove it or set \"cycles = allowed\" in [mesh]");
      return;
    }
    aPath.push_back(aName);
    for (const auto& dependency : found->second->dependencies) {
      VisitForCycle(dependency, aByName, aFinished, aPath);
    }
    aPath.pop_back();
    aFinished.insert(aName);
  }

  std::vector<ProtocolError> errors_;
  std::vector<state::ServiceSpec> services_;
  std::vector<state::RouteSpec> routes_;
  std::vector<state::AccountSpec> accounts_;
  std::optional<state::ClientLimits> limits_;
  std::set<std::string> serviceNames_;
  std::map<std::string, std::size_t> dependencyLines_;
  std::map<std::string, std::size_t> routeLines_;
  std::map<std::string, std::pair<std::string, std::size_t>> matches_;
  /// The account of each key.
  std::map<state::KeyDigest, std::string> keyAccounts_;
  bool cyclesAllowed_ = false;
  bool isWhole_ = true;
};

BuildResult
CompileText(std::string_view aText, state::Generation aGeneration)
{
  std::vector<ProtocolError> errors;
  const auto document = IniDocument::ParseReadable(aText, errors);
  return Compiler().Compile(document, std::move(errors), aText, aGeneration);
}

} // namespace

BuildResult
CompileConfiguration(std::string_view aText, state::Generation aGeneration)
{
  return IsEncodedConfiguration(aText) ? BuildEncoded(aText, aGeneration)
                                       : CompileText(aText, aGeneration);
}

BuildResult
CompileSubmission(std::string_view aText, state::Generation aGeneration)
{
  if (aText.size() > kMaxSubmissionBytes) {
    return tl::make_unexpected(std::vector<ProtocolError>{
      { ProtocolErrorCode::TooLarge,
        0,
        "the text has " + std::to_string(aText.size()) + " bytes; at most " +
          std::to_string(kMaxSubmissionBytes) + " are allowed" } });
  }
  return CompileText(aText, aGeneration);
}

std::string
FormatErrors(std::string_view aFileName,
             const std::vector<ProtocolError>& aErrors)
{
  std::string text;
  for (const auto& error : aErrors) {
    text.append(aFileName);
    if (error.line != 0) {
      text.append(":").append(std::to_string(error.line));
    }
    text.append(": ").append(error.message).append("\n");
  }
  return text;
}

} // namespace teaselhold::protocol
