#include "Protocol/ConfigurationWriter.h"

#include "State/EnumNames.h"

#include <array>
#include <charconv>

namespace teaselhold::protocol {

namespace {

/// Appends lines of an INI text.
class Writer
{
public:
  void Section(const std::string& aName) { text_ += "[" + aName + "]\n"; }

  void Entry(const char* aKey, const std::string& aValue)
  {
    text_.append(aKey).append(" = ").append(aValue).append("\n");
  }

  void Time(const char* aKey, std::chrono::milliseconds aTime)
  {
    Entry(aKey, std::to_string(aTime.count()) + "ms");
  }

  std::string Take() { return std::move(text_); }

private:
  std::string text_;
};

std::string
JoinTargets(const std::vector<state::RouteTarget>& aTargets)
{
  std::string text;
  for (const auto& target : aTargets) {
    text += text.empty() ? "" : ", ";
    text += target.service + ":" + std::to_string(target.weight);
  }
  return text;
}

std::string
JoinNames(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text += text.empty() ? name : ", " + name;
  }
  return text;
}

void
WriteService(const state::ServiceSpec& aService, Writer& aWriter)
{
  aWriter.Section("service " + aService.name);
  if (!aService.dependencies.empty()) {
    aWriter.Entry("depends", JoinNames(aService.dependencies));
  }
  aWriter.Entry("entry", aService.isEntry ? "yes" : "no");
}

void
WriteRoute(const state::RouteSpec& aRoute, Writer& aWriter)
{
  aWriter.Section("route " + aRoute.name);
  aWriter.Entry("match", aRoute.method + " " + aRoute.pathPrefix);
  if (!aRoute.host.empty()) {
    aWriter.Entry("host", aRoute.host);
  }
  if (aRoute.targets.empty()) {
    aWriter.Entry("service", aRoute.service);
  } else {
    aWriter.Entry("targets", JoinTargets(aRoute.targets));
  }
  aWriter.Entry("class",
                std::string(state::FindEnumName(state::kRequestClassNames,
                                                aRoute.requestClass)));
  aWriter.Entry("idempotent", aRoute.isIdempotent ? "yes" : "no");
  aWriter.Time("timeout", aRoute.timeout);
  if (aRoute.latencyObjective.count() > 0) {
    aWriter.Time("latency_objective", aRoute.latencyObjective);
  }
  if (aRoute.maxAttempts > 0) {
    aWriter.Entry("max_attempts", std::to_string(aRoute.maxAttempts));
  }
  if (aRoute.priority != state::kDefaultPriority) {
    aWriter.Entry("priority", std::to_string(aRoute.priority));
  }
  if (aRoute.isPublic) {
    aWriter.Entry("public", "yes");
  }
}

void
WriteAccount(const state::AccountSpec& aAccount, Writer& aWriter)
{
  aWriter.Section("account " + aAccount.name);
  if (aAccount.maxInFlight > 0) {
    aWriter.Entry("max_in_flight", std::to_string(aAccount.maxInFlight));
  }
  if (!aAccount.keyDigests.empty()) {
    aWriter.Entry("key_digests", JoinNames(aAccount.keyDigests));
  }
  if (aAccount.priority) {
    aWriter.Entry("priority", std::to_string(*aAccount.priority));
  }
  if (aAccount.requestsPerSecond > 0) {
    std::array<char, 32> rate{};
    const auto end = std::to_chars(
      rate.data(), rate.data() + rate.size(), aAccount.requestsPerSecond);
    aWriter.Entry("rate", std::string(rate.data(), end.ptr));
    aWriter.Entry("burst", std::to_string(aAccount.burst));
  }
}

} // namespace

std::string
WriteConfiguration(const ConfigurationParts& aParts)
{
  Writer writer;
  if (aParts.limits) {
    const auto& limits = *aParts.limits;
    writer.Section("limits");
    writer.Entry("max_header_bytes", std::to_string(limits.maxHeaderBytes));
    writer.Entry("max_body_bytes", std::to_string(limits.maxBodyBytes));
    writer.Time("header_timeout", limits.headerTimeout);
    writer.Time("idle_timeout", limits.idleTimeout);
  }
  for (const auto& service : aParts.services) {
    WriteService(service, writer);
  }
  for (const auto& route : aParts.routes) {
    WriteRoute(route, writer);
  }
  for (const auto& account : aParts.accounts) {
    WriteAccount(account, writer);
  }
  return writer.Take();
}

} // namespace teaselhold::protocol
