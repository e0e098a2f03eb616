#include "Protocol/Configurations/BuiltConfiguration.h"

#include "Protocol/Configurations/ConfigurationEncoding.h"

namespace teaselhold::protocol {

BuildResult
BuildConfiguration(ConfigurationParts aParts,
                   std::string_view aText,
                   state::Generation aGeneration)
{
  state::ConfigurationBuilder builder;
  builder.SetGeneration(aGeneration).SetText(std::string(aText));
  for (auto& service : aParts.services) {
    builder.AddService(std::move(service));
  }
  for (auto& route : aParts.routes) {
    builder.AddRoute(std::move(route));
  }
  for (auto& account : aParts.accounts) {
    builder.AddAccount(std::move(account));
  }
  if (aParts.limits) {
    builder.SetLimits(*aParts.limits);
  }
  if (aParts.requiresKeys) {
    builder.RequireKeys();
  }
  return builder.Build().map_error([](const state::StateError& aError) {
    return std::vector<ProtocolError>{
      { ProtocolErrorCode::InvalidValue, 0, aError.message }
    };
  });
}

BuildResult
BuildEncoded(std::string_view aText, state::Generation aGeneration)
{
  auto parts = DecodeConfiguration(aText);
  if (!parts) {
    return tl::make_unexpected(std::vector<ProtocolError>{ parts.error() });
  }
  return BuildConfiguration(std::move(*parts), aText, aGeneration);
}

} // namespace teaselhold::protocol
