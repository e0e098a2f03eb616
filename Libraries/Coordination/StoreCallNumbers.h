#pragma once

#include <cstdint>

namespace teaselhold::coordination {

/// Generates the numbers of the store calls of one node, by which each
/// component recognizes the responses to its own calls.
class StoreCallNumbers
{
public:
  std::uint64_t Next() { return next_++; }

private:
  std::uint64_t next_ = 1;
};

} // namespace teaselhold::coordination
