#include "Protocol/Configurations/ConfigurationEncoding.h"
#include "Protocol/Configurations/detail/EncodedText.h"
#include "State/EnumNames.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselhold::protocol {

namespace {

using detail::EncodeDigest;
using detail::Escape;

/// Appends sections, each with lines of fields such as `name=value`.
class Encoder
{
public:
  Encoder() { text_.append(detail::kFirstLine).append("\n"); }

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

/// The keys of an account, in sections by the first digits of their digests.
void
EncodeKeys(const state::AccountSpec& aAccount, Encoder& aEncoder)
{
  constexpr std::size_t kSectionsPerDigit = 16;
  auto digests = aAccount.keyDigests;
  std::ranges::sort(digests);
  std::size_t digits = 0;
  for (auto sections = kKeysPerSection; sections < digests.size();
       sections *= kSectionsPerDigit) {
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
  return aText.starts_with(detail::kFirstLine);
}

} // namespace teaselhold::protocol
