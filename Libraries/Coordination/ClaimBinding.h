#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// The value of a claim in the store: which incarnation of a node runs the
/// request of an idempotency key.
struct ClaimBinding
{
  /// Raised each time the claim moves to another executor. Starts at 1.
  std::uint64_t epoch = 1;
  std::string node;
  std::uint64_t incarnation = 0;
  /// IP:port for HTTP between nodes.
  std::string dataAddress;
  /// Fingerprint of the request; a key belongs to one request.
  std::uint64_t fingerprint = 0;
  /// Names the write that made this value. Only its author may start the run.
  std::string token;

  bool operator==(const ClaimBinding&) const = default;
};

std::string
FormatClaim(const ClaimBinding& aBinding);

/// @return empty if the text is not a claim.
std::optional<ClaimBinding>
ParseClaim(std::string_view aText);

/// The name of a keyed request in the store and in the executor's ledger. The
/// tenant is a part of it, so that no tenant gets the answer of another.
std::string
NameOfKeyedRequest(std::string_view aService,
                   std::string_view aTenant,
                   std::string_view aKey);

/// The store's key for the claim on a keyed request.
std::string
ClaimKey(std::string_view aName);

} // namespace teaselhold::coordination
