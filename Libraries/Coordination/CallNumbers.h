#pragma once

#include <cstdint>

namespace teaselhold::coordination {

/// Numbers the store calls of one node, so that each part recognizes its own
/// answers.
class CallNumbers
{
public:
  std::uint64_t Next() { return next_++; }

private:
  std::uint64_t next_ = 1;
};

} // namespace teaselhold::coordination
