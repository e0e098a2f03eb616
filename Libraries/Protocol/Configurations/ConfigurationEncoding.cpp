#include "Protocol/Configurations/ConfigurationEncoding.h"

#include "State/EnumNames.h"
#include "State/KeyDigest.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <array>
#include <charconv>

namespace teaselhold::protocol {

namespace {

constexpr std::string_view kFirstLine = "teaselhold-configuration 1";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kDigitMask = 0xf;

/// Returns whether a character separates the parts of a line, or might be taken
/// away at its ends.
bool
NeedsEscape(char aCharacter)
{
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  constexpr std::string_view kSeparators = "%,:[]";
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte <= kSpace || byte == kDelete ||
         kSeparators.find(aCharacter) != std::string_view::npos;
}

std::string
Escape(std::string_view aText)
{
  std::string escaped;
  escaped.reserve(aText.size());
  for (const auto character : aText) {
    if (!NeedsEscape(character)) {
      escaped += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    escaped += '%';
    escaped += kHexDigits[byte >> kBitsPerDigit];
    escaped += kHexDigits[byte & kDigitMask];
  }
  return escaped;
}

std::string
Unescape(std::string_view aText)
{
  constexpr std::size_t kEscapeLength = 3;
  std::string text;
  text.reserve(aText.size());
  while (!aText.empty()) {
    if (aText.front() != '%' || aText.size() < kEscapeLength) {
      text += aText.front();
      aText.remove_prefix(1);
      continue;
    }
    const auto high = kHexDigits.find(aText[1]);
    const auto low = kHexDigits.find(aText[2]);
    text += static_cast<char>((high << kBitsPerDigit) | (low & kDigitMask));
    aText.remove_prefix(kEscapeLength);
  }
  return text;
}

/// Appends sections, each with lines of fields such as `name=value`.
class Encoder
{
public:
  Encoder() { text_.append(kFirstLine).append("\n"); }

  void Section(std::string_view aKind, std::string_view aName = {})
  {
    text_ += '[';
    text_ += aKind;
    if (!aName.empty()) {
      text_ += ' ';
      text_ += aName;
    }
    text_ += "]\n";
  }

  void Field(std::string_view aName, std::string_view aValue)
  {
    text_.append(aName).append("=").append(aValue).append(" ");
  }

  void Number(std::string_view aName, std::uint64_t aValue)
  {
    Field(aName, std::to_string(aValue));
  }

  void Time(std::string_view aName, std::chrono::milliseconds aValue)
  {
    Number(aName, static_cast<std::uint64_t>(aValue.count()));
  }

  void Flag(std::string_view aName, bool aValue)
  {
    if (aValue) {
      Field(aName, "yes");
    }
  }

  void Line(std::string_view aText) { text_.append(aText).append("\n"); }

  void EndLine() { text_ += '\n'; }

  std::string Take() { return std::move(text_); }

private:
  std::string text_;
};

void
EncodeLimits(const state::ClientLimits& aLimits, Encoder& aEncoder)
{
  aEncoder.Section("limits");
  aEncoder.Number("header", aLimits.maxHeaderBytes);
  aEncoder.Number("body", aLimits.maxBodyBytes);
  aEncoder.Time("header_timeout", aLimits.headerTimeout);
  aEncoder.Time("idle_timeout", aLimits.idleTimeout);
  aEncoder.EndLine();
}

void
EncodeService(const state::ServiceSpec& aService, Encoder& aEncoder)
{
  aEncoder.Section("service", Escape(aService.name));
  aEncoder.Flag("entry", aService.isEntry);
  for (const auto& dependency : aService.dependencies) {
    aEncoder.Field("depends", Escape(dependency));
  }
  aEncoder.EndLine();
}

void
EncodeRoute(const state::RouteSpec& aRoute, Encoder& aEncoder)
{
  aEncoder.Section("route", Escape(aRoute.name));
  aEncoder.Field("method", Escape(aRoute.method));
  aEncoder.Field("prefix", Escape(aRoute.pathPrefix));
  aEncoder.Field("host", Escape(aRoute.host));
  if (!aRoute.service.empty()) {
    aEncoder.Field("service", Escape(aRoute.service));
  }
  for (const auto& target : aRoute.targets) {
    aEncoder.Field(
      "target", Escape(target.service) + ":" + std::to_string(target.weight));
  }
  aEncoder.Field(
    "class",
    state::FindEnumName(state::kRequestClassNames, aRoute.requestClass));
  aEncoder.Flag("idempotent", aRoute.isIdempotent);
  aEncoder.Time("timeout", aRoute.timeout);
  if (aRoute.latencyObjective.count() > 0) {
    aEncoder.Time("objective", aRoute.latencyObjective);
  }
  if (aRoute.maxAttempts > 0) {
    aEncoder.Number("attempts", aRoute.maxAttempts);
  }
  if (aRoute.priority != state::kDefaultPriority) {
    aEncoder.Number("priority", aRoute.priority);
  }
  aEncoder.Flag("public", aRoute.isPublic);
  aEncoder.EndLine();
}

/// @return 43 characters, of which none separates anything.
std::string
EncodeDigest(const state::KeyDigest& aDigest)
{
  return absl::WebSafeBase64Escape(absl::string_view(
    reinterpret_cast<const char*>(aDigest.data()), aDigest.size()));
}

std::optional<state::KeyDigest>
DecodeDigest(std::string_view aText)
{
  state::KeyDigest digest{};
  std::string bytes;
  if (!absl::WebSafeBase64Unescape(
        absl::string_view(aText.data(), aText.size()), &bytes) ||
      bytes.size() != digest.size()) {
    return std::nullopt;
  }
  std::ranges::copy(bytes, digest.begin());
  return digest;
}

/// The keys of an account, in sections by the first digits of their digests.
void
EncodeKeys(const state::AccountSpec& aAccount, Encoder& aEncoder)
{
  auto digests = aAccount.keyDigests;
  std::ranges::sort(digests);
  std::size_t digits = 0;
  for (auto sections = kKeysPerSection; sections < digests.size();
       sections *= kHexDigits.size()) {
    ++digits;
  }
  const auto name = Escape(aAccount.name);
  std::string section;
  for (const auto& digest : digests) {
    // Without digits the section still needs a name of its own.
    const auto next =
      name + " " + state::FormatDigest(digest).substr(0, digits);
    if (section != next) {
      section = next;
      aEncoder.Section("keys", section);
    }
    aEncoder.Line(EncodeDigest(digest));
  }
}

void
EncodeAccount(const state::AccountSpec& aAccount, Encoder& aEncoder)
{
  aEncoder.Section("account", Escape(aAccount.name));
  if (aAccount.maxInFlight > 0) {
    aEncoder.Number("max_in_flight", aAccount.maxInFlight);
  }
  if (aAccount.priority) {
    aEncoder.Number("priority", *aAccount.priority);
  }
  if (aAccount.requestsPerSecond > 0) {
    std::array<char, 32> rate{};
    const auto end = std::to_chars(
      rate.data(), rate.data() + rate.size(), aAccount.requestsPerSecond);
    aEncoder.Field("rate", std::string_view(rate.data(), end.ptr));
    aEncoder.Number("burst", aAccount.burst);
  }
  aEncoder.EndLine();
  EncodeKeys(aAccount, aEncoder);
}

/// Takes what is before the separator off the front of the text.
std::string_view
TakePart(std::string_view& aText, char aSeparator)
{
  const auto end = std::min(aText.find(aSeparator), aText.size());
  const auto part = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return part;
}

/// Reads one line after the other.
class Decoder
{
public:
  tl::expected<ConfigurationParts, ProtocolError> Decode(std::string_view aText)
  {
    TakePart(aText, '\n');
    while (!aText.empty() && isValid_) {
      ++line_;
      ReadLine(TakePart(aText, '\n'));
    }
    if (!isValid_) {
      return tl::make_unexpected(
        ProtocolError{ ProtocolErrorCode::Syntax,
                       line_,
                       "the encoded configuration is damaged" });
    }
    return std::move(parts_);
  }

private:
  enum class Section : std::uint8_t
  {
    None,
    Keys,
    Limits,
    Service,
    Route,
    Account,
  };

  static constexpr std::array<state::EnumName<Section>, 6> kSectionNames{ {
    { Section::None, "mesh" },
    { Section::Keys, "keys" },
    { Section::Limits, "limits" },
    { Section::Service, "service" },
    { Section::Route, "route" },
    { Section::Account, "account" },
  } };

  void ReadLine(std::string_view aLine)
  {
    if (aLine.starts_with('[') && aLine.ends_with(']')) {
      BeginSection(aLine.substr(1, aLine.size() - 2));
    } else if (section_ == Section::Keys) {
      ReadKey(aLine);
    } else {
      while (!aLine.empty() && isValid_) {
        auto field = TakePart(aLine, ' ');
        const auto name = TakePart(field, '=');
        ReadField(name, field);
      }
    }
  }

  void BeginSection(std::string_view aHeader)
  {
    const auto section =
      state::FindEnumValue(kSectionNames, TakePart(aHeader, ' '));
    isValid_ = isValid_ && section;
    section_ = section.value_or(Section::None);
    auto name = Unescape(TakePart(aHeader, ' '));
    switch (section_) {
      case Section::Limits:
        parts_.limits.emplace();
        break;
      case Section::Service:
        parts_.services.push_back({ std::move(name), {}, false });
        break;
      case Section::Route:
        parts_.routes.emplace_back().name = std::move(name);
        break;
      case Section::Account:
        parts_.accounts.emplace_back().name = std::move(name);
        break;
      case Section::Keys:
        isValid_ = isValid_ && !parts_.accounts.empty() &&
                   parts_.accounts.back().name == name;
        break;
      case Section::None:
        break;
    }
  }

  void ReadKey(std::string_view aLine)
  {
    const auto digest = DecodeDigest(aLine);
    isValid_ = isValid_ && digest;
    if (digest) {
      parts_.accounts.back().keyDigests.push_back(*digest);
    }
  }

  void ReadField(std::string_view aName, std::string_view aValue)
  {
    const bool isKnown = [&] {
      switch (section_) {
        case Section::Limits:
          return ReadLimit(aName, aValue, *parts_.limits);
        case Section::Service:
          return ReadService(aName, aValue, parts_.services.back());
        case Section::Route:
          return ReadRoute(aName, aValue, parts_.routes.back());
        case Section::Account:
          return ReadAccount(aName, aValue, parts_.accounts.back());
        case Section::None:
        case Section::Keys:
          break;
      }
      parts_.requiresKeys = aName == "keys";
      return parts_.requiresKeys;
    }();
    isValid_ = isValid_ && isKnown;
  }

  bool ReadLimit(std::string_view aName,
                 std::string_view aValue,
                 state::ClientLimits& aLimits)
  {
    if (aName == "header") {
      aLimits.maxHeaderBytes = ReadNumber<std::uint32_t>(aValue);
    } else if (aName == "body") {
      aLimits.maxBodyBytes = ReadNumber<std::uint64_t>(aValue);
    } else if (aName == "header_timeout") {
      aLimits.headerTimeout = ReadTime(aValue);
    } else if (aName == "idle_timeout") {
      aLimits.idleTimeout = ReadTime(aValue);
    } else {
      return false;
    }
    return true;
  }

  static bool ReadService(std::string_view aName,
                          std::string_view aValue,
                          state::ServiceSpec& aService)
  {
    if (aName == "entry") {
      aService.isEntry = true;
    } else if (aName == "depends") {
      aService.dependencies.push_back(Unescape(aValue));
    } else {
      return false;
    }
    return true;
  }

  bool ReadRoute(std::string_view aName,
                 std::string_view aValue,
                 state::RouteSpec& aRoute)
  {
    if (aName == "method") {
      aRoute.method = Unescape(aValue);
    } else if (aName == "prefix") {
      aRoute.pathPrefix = Unescape(aValue);
    } else if (aName == "host") {
      aRoute.host = Unescape(aValue);
    } else if (aName == "service") {
      aRoute.service = Unescape(aValue);
    } else if (aName == "target") {
      auto service = Unescape(TakePart(aValue, ':'));
      aRoute.targets.push_back(
        { std::move(service), ReadNumber<std::uint32_t>(aValue) });
    } else if (aName == "class") {
      const auto value =
        state::FindEnumValue(state::kRequestClassNames, aValue);
      isValid_ = isValid_ && value;
      aRoute.requestClass = value.value_or(aRoute.requestClass);
    } else if (aName == "idempotent") {
      aRoute.isIdempotent = true;
    } else if (aName == "timeout") {
      aRoute.timeout = ReadTime(aValue);
    } else if (aName == "objective") {
      aRoute.latencyObjective = ReadTime(aValue);
    } else if (aName == "attempts") {
      aRoute.maxAttempts = ReadNumber<std::uint32_t>(aValue);
    } else if (aName == "priority") {
      aRoute.priority = ReadNumber<std::uint32_t>(aValue);
    } else if (aName == "public") {
      aRoute.isPublic = true;
    } else {
      return false;
    }
    return true;
  }

  bool ReadAccount(std::string_view aName,
                   std::string_view aValue,
                   state::AccountSpec& aAccount)
  {
    if (aName == "max_in_flight") {
      aAccount.maxInFlight = ReadNumber<std::uint32_t>(aValue);
    } else if (aName == "priority") {
      aAccount.priority = ReadNumber<std::uint32_t>(aValue);
    } else if (aName == "rate") {
      aAccount.requestsPerSecond = ReadNumber<double>(aValue);
    } else if (aName == "burst") {
      aAccount.burst = ReadNumber<std::uint32_t>(aValue);
    } else {
      return false;
    }
    return true;
  }

  template<typename Number>
  Number ReadNumber(std::string_view aText)
  {
    Number value{};
    const auto* end = aText.data() + aText.size();
    const auto result = std::from_chars(aText.data(), end, value);
    isValid_ = isValid_ && result.ec == std::errc() && result.ptr == end;
    return value;
  }

  std::chrono::milliseconds ReadTime(std::string_view aText)
  {
    return std::chrono::milliseconds(ReadNumber<std::uint32_t>(aText));
  }

  ConfigurationParts parts_;
  Section section_ = Section::None;
  std::size_t line_ = 1;
  bool isValid_ = true;
};

} // namespace

std::string
EncodeConfiguration(const ConfigurationParts& aParts)
{
  Encoder encoder;
  if (aParts.requiresKeys) {
    encoder.Section("mesh");
    encoder.Field("keys", "required");
    encoder.EndLine();
  }
  if (aParts.limits) {
    EncodeLimits(*aParts.limits, encoder);
  }
  for (const auto& service : aParts.services) {
    EncodeService(service, encoder);
  }
  for (const auto& route : aParts.routes) {
    EncodeRoute(route, encoder);
  }
  for (const auto& account : aParts.accounts) {
    EncodeAccount(account, encoder);
  }
  return encoder.Take();
}

bool
IsEncodedConfiguration(std::string_view aText)
{
  return aText.starts_with(kFirstLine);
}

tl::expected<ConfigurationParts, ProtocolError>
DecodeConfiguration(std::string_view aText)
{
  return Decoder().Decode(aText);
}

} // namespace teaselhold::protocol
