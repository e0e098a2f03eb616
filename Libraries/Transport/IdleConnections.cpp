#include "Transport/IdleConnections.h"

#include <algorithm>

namespace teaselhold::transport {

IdleConnections::Connection
IdleConnections::Take(const std::string& aAddress, TimePoint aUsedAfter)
{
  const auto found = byAddress_.find(aAddress);
  if (found == byAddress_.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->LastUse() >= aUsedAfter && connection->IsReusable()) {
      return connection;
    }
  }
  return nullptr;
}

void
IdleConnections::Put(Connection aConnection, std::size_t aMaximum)
{
  auto& idle = byAddress_[aConnection->Address()];
  if (idle.size() >= aMaximum) {
    return;
  }
  const auto place = std::ranges::upper_bound(
    idle, aConnection->LastUse(), {}, &HttpClientConnection::LastUse);
  idle.insert(place, std::move(aConnection));
}

void
IdleConnections::CloseOlder(TimePoint aUsedAfter)
{
  for (auto place = byAddress_.begin(); place != byAddress_.end();) {
    auto& idle = place->second;
    while (!idle.empty() && idle.front()->LastUse() < aUsedAfter) {
      idle.pop_front();
    }
    place = idle.empty() ? byAddress_.erase(place) : std::next(place);
  }
}

std::vector<IdleConnections::Connection>
IdleConnections::TakeUnverified(TimePoint aTime)
{
  std::vector<Connection> taken;
  for (auto& [address, idle] : byAddress_) {
    for (auto& connection : idle) {
      if (connection->LastAnswer() < aTime) {
        taken.push_back(std::move(connection));
      }
    }
    std::erase(idle, nullptr);
  }
  return taken;
}

void
IdleConnections::Close(const std::string& aAddress)
{
  byAddress_.erase(aAddress);
}

bool
IdleConnections::CloseOldest()
{
  auto oldest = byAddress_.end();
  for (auto place = byAddress_.begin(); place != byAddress_.end(); ++place) {
    const auto& idle = place->second;
    if (!idle.empty() &&
        (oldest == byAddress_.end() ||
         idle.front()->LastUse() < oldest->second.front()->LastUse())) {
      oldest = place;
    }
  }
  if (oldest == byAddress_.end()) {
    return false;
  }
  oldest->second.pop_front();
  return true;
}

std::size_t
IdleConnections::Size() const
{
  std::size_t size = 0;
  for (const auto& [address, idle] : byAddress_) {
    size += idle.size();
  }
  return size;
}

} // namespace teaselhold::transport
