#pragma once

#include "Tests/StandIns/UpstreamStandIn/Upstream.h"

#include <memory>

namespace teaselhold::stand_ins {

/// A small HTTP server that, unlike transport::HttpServer, can break off in
/// the middle of an answer or go silent.
class StandInServer
{
public:
  /// @throws boost::system::system_error if it cannot listen.
  StandInServer(boost::asio::io_context& aContext,
                const std::string& aHost,
                std::uint16_t aPort,
                std::size_t aMaxConnections,
                Upstream& aUpstream);

  boost::asio::awaitable<void> Accept();

private:
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;

  boost::asio::awaitable<void> Serve(Stream aStream);
  boost::asio::awaitable<bool> ServeRequest(Stream aStream,
                                            boost::beast::flat_buffer& aBuffer);
  static boost::asio::awaitable<bool> Write(Stream aStream, Reply aReply);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::size_t maxConnections_;
  std::size_t connections_ = 0;
  Upstream& upstream_;
};

} // namespace teaselhold::stand_ins
