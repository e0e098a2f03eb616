#pragma once

#include "Coordination/CallTypes.h"
#include "State/Configuration.h"

#include <string_view>
#include <tl/expected.hpp>

namespace teaselhold::coordination {

/// What a request and this node say about the client account.
struct KeyFacts
{
  /// Empty if the request carries no key.
  std::string_view key;
  /// How often the header with the key stands in the request.
  std::size_t count = 0;
  /// The upstream beside this node may run a request, so a request without a
  /// key may be a call of that one.
  bool mayBeNested = false;
  /// The configuration in force is known to be recent enough that no key in it
  /// was withdrawn too long ago.
  bool isVerified = true;
};

/// Finds the client account of a request. Touches neither network nor clock.
/// @return nullptr if the request has no account and needs none; otherwise why
///         it must not run.
tl::expected<const state::AccountSpec*, NotRunReason>
CheckKey(const state::Configuration& aConfiguration,
         const state::RouteSpec& aRoute,
         const KeyFacts& aFacts);

} // namespace teaselhold::coordination
