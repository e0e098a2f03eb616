#include "Coordination/Accounts/KeyCheck.h"

#include "State/KeyDigest.h"

namespace teaselhold::coordination {

namespace {

tl::unexpected<NotRunReason>
Refuse(NotRunReason aReason)
{
  return tl::make_unexpected(aReason);
}

/// @return nullptr if no account holds the key.
const state::AccountSpec*
FindAccount(const state::Configuration& aConfiguration, const KeyFacts& aFacts)
{
  // The limit of a request's head bounds the length of the key.
  const bool isReadable = aFacts.count == 1 && !aFacts.key.empty();
  return isReadable
           ? aConfiguration.FindAccountByKey(state::DigestOfKey(aFacts.key))
           : nullptr;
}

} // namespace

tl::expected<const state::AccountSpec*, NotRunReason>
CheckKey(const state::Configuration& aConfiguration,
         const state::RouteSpec& aRoute,
         const KeyFacts& aFacts)
{
  if (!aConfiguration.RequiresKeys()) {
    return nullptr;
  }
  const auto* account =
    aFacts.isVerified ? FindAccount(aConfiguration, aFacts) : nullptr;
  if (account != nullptr || aRoute.isPublic) {
    return account;
  }
  if (aFacts.count == 0) {
    if (aFacts.mayBeNested) {
      return nullptr;
    }
    return Refuse(NotRunReason::AccountKeyMissing);
  }
  // A newer version may hold the key, so that it is not called unknown.
  return Refuse(aFacts.isVerified ? NotRunReason::AccountKeyUnknown
                                  : NotRunReason::AccountsUnverified);
}

} // namespace teaselhold::coordination
