#include "Coordination/ClaimBinding.h"

#include <sstream>

namespace teaselhold::coordination {

namespace {

constexpr std::string_view kFormatVersion = "claim1";
constexpr std::string_view kStoreKeyPrefix = "teaselhold/claim/";

} // namespace

std::string
FormatClaim(const ClaimBinding& aBinding)
{
  std::ostringstream text;
  text << kFormatVersion << ' ' << aBinding.epoch << ' ' << aBinding.node << ' '
       << aBinding.incarnation << ' ' << aBinding.dataAddress << ' '
       << aBinding.fingerprint << ' ' << aBinding.token;
  return text.str();
}

std::optional<ClaimBinding>
ParseClaim(std::string_view aText)
{
  std::istringstream text{ std::string(aText) };
  std::string version;
  ClaimBinding binding;
  text >> version >> binding.epoch >> binding.node >> binding.incarnation >>
    binding.dataAddress >> binding.fingerprint >> binding.token;
  if (text.fail() || version != kFormatVersion) {
    return std::nullopt;
  }
  return binding;
}

std::string
KeyedRequestName(std::string_view aService,
                 std::string_view aTenant,
                 std::string_view aKey)
{
  // The length of the tenant makes the name unambiguous whatever characters
  // tenant and key contain.
  std::string name(aService);
  name.append("/").append(std::to_string(aTenant.size()));
  name.append(":").append(aTenant).append("/").append(aKey);
  return name;
}

std::string
ClaimKey(std::string_view aName)
{
  return std::string(kStoreKeyPrefix).append(aName);
}

} // namespace teaselhold::coordination
