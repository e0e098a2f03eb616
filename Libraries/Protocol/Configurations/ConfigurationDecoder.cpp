#include "Protocol/Configurations/ConfigurationEncoding.h"
#include "Protocol/Configurations/detail/EncodedText.h"
#include "State/EnumNames.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselhold::protocol {

namespace {

using detail::DecodeDigest;
using detail::Unescape;

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

tl::expected<ConfigurationParts, ProtocolError>
DecodeConfiguration(std::string_view aText)
{
  return Decoder().Decode(aText);
}

} // namespace teaselhold::protocol
