#include "Transport/HttpServerConnection.h"

#include "Protocol/Headers.h"

#include <spdlog/spdlog.h>

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

constexpr std::size_t kFirstReadBytes = 4096;

/// Time and bytes for which a closed connection is still read. Closing it with
/// unread bytes resets it, and a reset can destroy the answer on its way.
constexpr std::chrono::seconds kLingerTime{ 2 };
constexpr std::size_t kMaxLingerBytes = 1024 * 1024;

bool
HasNoBody(const HttpResponse& aResponse)
{
  return aResponse.result() == http::status::no_content ||
         aResponse.result() == http::status::not_modified ||
         to_status_class(aResponse.result()) ==
           http::status_class::informational;
}

/// Sets the length. An answer to HEAD and a 304 carry the length of the body
/// that they stand for.
void
PrepareAnswer(HttpResponse& aResponse, bool aIsHead)
{
  aResponse.erase(http::field::transfer_encoding);
  if (HasNoBody(aResponse)) {
    aResponse.body().clear();
    if (aResponse.result() != http::status::not_modified) {
      aResponse.erase(http::field::content_length);
    }
    return;
  }
  if (!aIsHead) {
    aResponse.content_length(aResponse.body().size());
    return;
  }
  if (!aResponse.body().empty() ||
      aResponse.count(http::field::content_length) == 0) {
    aResponse.content_length(aResponse.body().size());
  }
  aResponse.body().clear();
}

} // namespace

class HttpServerConnection::Reservation
{
public:
  explicit Reservation(std::shared_ptr<HttpServer::Shared> aShared)
    : shared_(std::move(aShared))
  {
    ++shared_->inFlight;
  }
  ~Reservation()
  {
    --shared_->inFlight;
    shared_->bufferedBytes -= bytes_;
  }
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  /// @return false if all bodies together would exceed their bound.
  bool GrowTo(std::uint64_t aBytes)
  {
    if (aBytes <= bytes_) {
      return true;
    }
    const auto more = aBytes - bytes_;
    if (shared_->bufferedBytes + more > shared_->options.maxBufferedBytes) {
      return false;
    }
    shared_->bufferedBytes += more;
    bytes_ = aBytes;
    return true;
  }

private:
  std::shared_ptr<HttpServer::Shared> shared_;
  std::uint64_t bytes_ = 0;
};

HttpServerConnection::HttpServerConnection(
  asio::ip::tcp::socket aSocket,
  std::shared_ptr<HttpServer::Shared> aShared)
  : stream_(std::move(aSocket))
  , shared_(std::move(aShared))
{
  boost::system::error_code error;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  shared_->connections.push_back(*this);
}

asio::awaitable<void>
HttpServerConnection::Run()
{
  const auto self = shared_from_this();
  ++shared_->open;
  bool open = true;
  while (open) {
    open = co_await WaitForRequest();
    if (open) {
      open = co_await ServeRequest();
    }
  }
  co_await LingeringClose();
  --shared_->open;
}

asio::awaitable<void>
HttpServerConnection::Refuse()
{
  const auto self = shared_from_this();
  ++shared_->open;
  co_await WriteError(http::status::service_unavailable, "full");
  co_await LingeringClose();
  --shared_->open;
}

void
HttpServerConnection::EndIfIdle()
{
  if (idle_) {
    boost::system::error_code error;
    stream_.socket().cancel(error);
  }
}

asio::awaitable<bool>
HttpServerConnection::WaitForRequest()
{
  if (buffer_.size() > 0) {
    co_return true;
  }
  // A connection from the backlog of a draining server is still answered.
  stream_.expires_after(shared_->draining ? shared_->options.headerTimeout
                                          : shared_->options.idleTimeout);
  boost::system::error_code error;
  idle_ = true;
  const auto size = co_await stream_.async_read_some(
    buffer_.prepare(kFirstReadBytes),
    asio::redirect_error(asio::use_awaitable, error));
  idle_ = false;
  buffer_.commit(size);
  co_return !error && size > 0;
}

asio::awaitable<bool>
HttpServerConnection::ServeRequest()
{
  Reservation reservation(shared_);
  auto request = co_await ReadRequest(reservation);
  if (!request) {
    co_return false;
  }
  const bool keepAlive = request->keep_alive();
  const bool isHead = request->method() == http::verb::head;
  const auto version = request->version();
  // A process that was paused finds requests whose clients gave up long ago.
  if (IsClosedByClient()) {
    co_return false;
  }
  auto cancellation = std::make_shared<Cancellation>();
  WatchForClose(cancellation);
  auto response = co_await Handle(std::move(*request), cancellation);
  boost::system::error_code error;
  stream_.socket().cancel(error);
  if (cancellation->IsCancelled()) {
    co_return false;
  }
  response.version(version);
  PrepareAnswer(response, isHead);
  response.keep_alive(keepAlive && response.keep_alive() &&
                      !shared_->closeAfterAnswers);
  const bool written = co_await Write(response);
  co_return written&& response.keep_alive();
}

asio::awaitable<std::optional<HttpRequest>>
HttpServerConnection::ReadRequest(Reservation& aReservation)
{
  Parser parser;
  parser.header_limit(shared_->options.maxHeaderBytes);
  parser.body_limit(shared_->options.maxBodyBytes);
  boost::system::error_code error;
  stream_.expires_after(shared_->options.headerTimeout);
  co_await http::async_read_header(
    stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_await Reject(error);
    co_return std::nullopt;
  }
  if (parser.content_length() &&
      !aReservation.GrowTo(*parser.content_length())) {
    co_await WriteError(http::status::service_unavailable, "full");
    co_return std::nullopt;
  }
  stream_.expires_after(shared_->options.bodyTimeout);
  if (!parser.is_done() &&
      boost::beast::iequals(parser.get()[http::field::expect],
                            "100-continue")) {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n"
                                                  "\r\n";
    co_await asio::async_write(
      stream_,
      asio::buffer(kContinue.data(), kContinue.size()),
      asio::redirect_error(asio::use_awaitable, error));
  }
  const bool complete = co_await ReadBody(parser, aReservation);
  if (!complete) {
    co_return std::nullopt;
  }
  co_return parser.release();
}

asio::awaitable<bool>
HttpServerConnection::ReadBody(Parser& aParser, Reservation& aReservation)
{
  boost::system::error_code error;
  while (!aParser.is_done()) {
    co_await http::async_read_some(
      stream_,
      buffer_,
      aParser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Reject(error);
      co_return false;
    }
    if (!aReservation.GrowTo(aParser.get().body().size())) {
      co_await WriteError(http::status::service_unavailable, "full");
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<HttpResponse>
HttpServerConnection::Handle(HttpRequest aRequest,
                             CancellationPointer aCancellation)
{
  HttpResponse response;
  try {
    response =
      co_await shared_->handler(std::move(aRequest), std::move(aCancellation));
  } catch (const std::exception& exception) {
    spdlog::error("[http] Request handler failed. reason=\"{}\"",
                  exception.what());
    response = {};
    response.result(http::status::internal_server_error);
    response.set(headers::kOutcome, "unknown");
    response.keep_alive(false);
  }
  co_return response;
}

void
HttpServerConnection::WatchForClose(CancellationPointer aCancellation)
{
  stream_.socket().async_wait(
    asio::socket_base::wait_read,
    [self = shared_from_this(), cancellation = std::move(aCancellation)](
      const boost::system::error_code& aError) {
      if (!aError && self->IsClosedByClient()) {
        cancellation->Cancel();
      }
    });
}

bool
HttpServerConnection::IsClosedByClient()
{
  auto& socket = stream_.socket();
  boost::system::error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error && error != asio::error::would_block;
}

asio::awaitable<bool>
HttpServerConnection::Write(HttpResponse& aResponse)
{
  stream_.expires_after(shared_->options.writeTimeout);
  boost::system::error_code error;
  co_await http::async_write(
    stream_, aResponse, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<void>
HttpServerConnection::WriteError(http::status aStatus, const char* aReason)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(headers::kOutcome, "not-run");
  response.set(headers::kReason, aReason);
  response.body() = std::string(aReason) + "\n";
  PrepareAnswer(response, false);
  response.keep_alive(false);
  co_await Write(response);
}

asio::awaitable<void>
HttpServerConnection::Reject(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    co_await WriteError(http::status::request_header_fields_too_large,
                        "bad-request");
  } else if (aError == http::error::body_limit) {
    co_await WriteError(http::status::payload_too_large, "bad-request");
  } else if (aError.category() ==
               make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream &&
             aError != http::error::partial_message) {
    co_await WriteError(http::status::bad_request, "bad-request");
  }
}

asio::awaitable<void>
HttpServerConnection::LingeringClose()
{
  boost::system::error_code error;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  stream_.expires_after(kLingerTime);
  std::size_t total = 0;
  while (!error && total < kMaxLingerBytes) {
    buffer_.clear();
    total += co_await stream_.async_read_some(
      buffer_.prepare(kFirstReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  }
  stream_.close();
}

} // namespace teaselhold::transport
