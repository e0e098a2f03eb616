#pragma once

#include "Transport/HttpClientConnection.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace teaselhold::transport {

/// The idle connections of a client pool by address, least recently used first.
class IdleConnections
{
public:
  using Connection = std::unique_ptr<HttpClientConnection>;
  using TimePoint = HttpClientConnection::TimePoint;

  /// Takes the most recently used connection that still looks open.
  /// @return nullptr if there is none.
  Connection Take(const std::string& aAddress, TimePoint aUsedAfter);

  /// Keeps a connection, unless aMaximum of its address are idle already.
  void Put(Connection aConnection, std::size_t aMaximum);

  /// Closes connections that were last used before aUsedAfter.
  void CloseOlder(TimePoint aUsedAfter);

  /// Removes the connections whose peer last answered before aTime.
  std::vector<Connection> TakeUnverified(TimePoint aTime);

  void Close(const std::string& aAddress);

  /// Closes the least recently used connection.
  /// @return false if there is none.
  bool CloseOldest();

  std::size_t Size() const;

private:
  std::unordered_map<std::string, std::deque<Connection>> byAddress_;
};

} // namespace teaselhold::transport
