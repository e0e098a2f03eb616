#include "Transport/HttpServerConnection.h"

#include "Protocol/Headers.h"
#include "Transport/SocketOptions.h"

#include <spdlog/spdlog.h>

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;
using Steady = std::chrono::steady_clock;

constexpr std::size_t kFirstReadBytes = 4096;

/// Requests of one connection that are handled at the same time; the next one
/// stays in the socket.
constexpr std::size_t kMaxExchanges = 16;

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

struct HttpServerConnection::Exchange
{
  explicit Exchange(std::shared_ptr<HttpServer::Shared> aShared)
    : reservation(std::move(aShared))
  {
  }

  Reservation reservation;
  HttpRequest request;
  CancellationPointer cancellation = std::make_shared<Cancellation>();
  bool keepAlive = true;
  bool isHead = false;
  unsigned version = 11;
  std::optional<HttpResponse> response;
};

HttpServerConnection::HttpServerConnection(
  asio::ip::tcp::socket aSocket,
  std::shared_ptr<HttpServer::Shared> aShared)
  : socket_(std::move(aSocket))
  , shared_(std::move(aShared))
  , wake_(socket_.get_executor())
{
  SetRequestOptions(socket_);
  shared_->connections.push_back(*this);
}

void
HttpServerConnection::SetDeadline(std::chrono::milliseconds aTime)
{
  deadline_ = Steady::now() + aTime;
}

void
HttpServerConnection::EndIfOverdue(Steady::time_point aNow)
{
  if (aNow >= deadline_) {
    deadline_ = Steady::time_point::max();
    boost::system::error_code error;
    socket_.cancel(error);
  }
}

asio::awaitable<void>
HttpServerConnection::Run()
{
  const auto self = shared_from_this();
  ++shared_->open;
  bool open = true;
  while (open) {
    co_await WaitForRoom();
    if (isClosing_ || isBroken_) {
      break;
    }
    const bool isReceived = co_await WaitForRequest();
    if (!isReceived) {
      break;
    }
    isReading_ = true;
    const auto exchange = co_await ReadExchange();
    isReading_ = false;
    if (exchange == nullptr || isClosing_) {
      break;
    }
    // A process that was paused finds requests whose clients gave up long ago.
    if (IsClosedByClient()) {
      isBroken_ = true;
      CancelExchanges();
      break;
    }
    open = exchange->keepAlive;
    hasServed_ = true;
    exchanges_.push_back(exchange);
    asio::co_spawn(
      socket_.get_executor(),
      [self, exchange]() -> Awaitable<void> {
        co_await self->Handle(exchange);
      },
      asio::detached);
  }
  if (!isBroken_) {
    co_await WaitForAnswers();
  }
  if (!isBroken_) {
    co_await LingeringClose();
  }
  boost::system::error_code error;
  socket_.close(error);
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
  // A client that has just connected is about to send its request.
  if (idle_ && exchanges_.empty() && hasServed_) {
    boost::system::error_code error;
    socket_.cancel(error);
  }
}

bool
HttpServerConnection::MayReadMore() const
{
  if (exchanges_.empty()) {
    return true;
  }
  return exchanges_.size() < kMaxExchanges && !shared_->closeAfterAnswers;
}

asio::awaitable<void>
HttpServerConnection::WaitForRoom()
{
  if (!MayReadMore()) {
    WatchForClose();
  }
  while (!MayReadMore() && !isClosing_ && !isBroken_) {
    wake_.expires_at(Steady::time_point::max());
    boost::system::error_code error;
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

void
HttpServerConnection::WatchForClose()
{
  socket_.async_wait(
    asio::socket_base::wait_read,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && self->IsClosedByClient()) {
        self->isBroken_ = true;
        self->CancelExchanges();
        self->WakeReader();
      }
    });
}

asio::awaitable<void>
HttpServerConnection::WaitForAnswers()
{
  // The client may close while the last answers are made.
  if (!exchanges_.empty()) {
    WatchForClose();
  }
  while (!exchanges_.empty() && !isBroken_) {
    wake_.expires_at(Steady::time_point::max());
    boost::system::error_code error;
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  boost::system::error_code error;
  socket_.cancel(error);
}

void
HttpServerConnection::WakeReader()
{
  wake_.cancel();
}

void
HttpServerConnection::CancelExchanges()
{
  // A cancelled handler may end at once and change the list.
  const auto exchanges = exchanges_;
  for (const auto& exchange : exchanges) {
    exchange->cancellation->Cancel();
  }
}

asio::awaitable<bool>
HttpServerConnection::WaitForRequest()
{
  if (buffer_.size() > 0) {
    co_return true;
  }
  // A connection from the backlog of a draining server is still answered.
  if (exchanges_.empty()) {
    SetDeadline(shared_->draining ? shared_->options.headerTimeout
                                  : shared_->options.idleTimeout);
  }
  boost::system::error_code error;
  idle_ = true;
  do {
    const auto size = co_await socket_.async_read_some(
      buffer_.prepare(kFirstReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
    buffer_.commit(size);
    // The wait may end as a request arrives; its client would lose it.
  } while (error == asio::error::operation_aborted && !isClosing_ &&
           !isBroken_ && HasMoreToRead());
  idle_ = false;
  const bool isReceived = !error && buffer_.size() > 0;
  if (!isReceived && error != asio::error::operation_aborted) {
    isBroken_ = !exchanges_.empty();
    CancelExchanges();
  }
  co_return isReceived;
}

asio::awaitable<HttpServerConnection::ExchangePointer>
HttpServerConnection::ReadExchange()
{
  auto exchange = std::make_shared<Exchange>(shared_);
  Parser parser;
  parser.header_limit(shared_->options.maxHeaderBytes);
  parser.body_limit(shared_->options.maxBodyBytes);
  boost::system::error_code error;
  SetDeadline(shared_->options.headerTimeout);
  co_await http::async_read_header(
    socket_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_await WaitForAnswers();
    co_await Reject(error);
    co_return nullptr;
  }
  if (parser.content_length() &&
      !exchange->reservation.GrowTo(*parser.content_length())) {
    co_await WaitForAnswers();
    co_await WriteError(http::status::service_unavailable, "full");
    co_return nullptr;
  }
  const bool isOffered =
    !parser.is_done() &&
    boost::beast::iequals(parser.get()[http::field::expect], "100-continue");
  BodyAdmission admission;
  if (isOffered) {
    deadline_ = Steady::time_point::max();
    admission = co_await InviteBody(parser.get());
    if (admission.refusal) {
      exchange->response = std::move(admission.refusal);
      co_return exchange;
    }
  }
  SetDeadline(shared_->options.bodyTimeout);
  const bool complete = co_await ReadBody(parser, *exchange, admission);
  deadline_ = Steady::time_point::max();
  if (!complete) {
    co_return nullptr;
  }
  exchange->request = parser.release();
  exchange->keepAlive = exchange->request.keep_alive();
  exchange->isHead = exchange->request.method() == http::verb::head;
  exchange->version = exchange->request.version();
  co_return exchange;
}

asio::awaitable<BodyAdmission>
HttpServerConnection::InviteBody(const HttpRequest& aHead)
{
  BodyAdmission admission;
  if (shared_->options.admitBody) {
    admission = co_await shared_->options.admitBody(aHead);
  }
  if (admission.refusal) {
    co_return admission;
  }
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n"
                                                "\r\n";
  co_await WaitForAnswers();
  SetDeadline(shared_->options.writeTimeout);
  // A client that is gone is noticed when its body is read.
  boost::system::error_code ignored;
  co_await asio::async_write(
    socket_,
    asio::buffer(kContinue.data(), kContinue.size()),
    asio::redirect_error(asio::use_awaitable, ignored));
  co_return admission;
}

asio::awaitable<bool>
HttpServerConnection::ReadBody(Parser& aParser,
                               Exchange& aExchange,
                               const BodyAdmission& aAdmission)
{
  boost::system::error_code error;
  while (!aParser.is_done()) {
    const auto before = aParser.get().body().size();
    co_await http::async_read_some(
      socket_,
      buffer_,
      aParser,
      asio::redirect_error(asio::use_awaitable, error));
    if (aAdmission.onReceived) {
      aAdmission.onReceived(aParser.get().body().size() - before);
    }
    if (error) {
      co_await WaitForAnswers();
      co_await Reject(error);
      co_return false;
    }
    if (!aExchange.reservation.GrowTo(aParser.get().body().size())) {
      co_await WaitForAnswers();
      co_await WriteError(http::status::service_unavailable, "full");
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<void>
HttpServerConnection::Handle(ExchangePointer aExchange)
{
  if (aExchange->response) {
    // Its body was refused, so there is nothing to handle.
    if (!isWriting_ && !isBroken_) {
      co_await WriteAnswers();
    }
    co_return;
  }
  HttpResponse response;
  try {
    response = co_await shared_->handler(std::move(aExchange->request),
                                         aExchange->cancellation);
  } catch (const std::exception& exception) {
    spdlog::error("[http] Request handler failed. reason=\"{}\"",
                  exception.what());
    response = {};
    response.result(http::status::internal_server_error);
    response.set(headers::kOutcome, "unknown");
    response.keep_alive(false);
  }
  aExchange->response = std::move(response);
  if (!isWriting_ && !isBroken_) {
    co_await WriteAnswers();
  }
}

bool
HttpServerConnection::PrepareNextAnswer(Exchange& aExchange)
{
  auto& response = *aExchange.response;
  response.version(aExchange.version);
  PrepareAnswer(response, aExchange.isHead);
  // Later requests of this connection were handed on already or have arrived,
  // so only the last answer may end it.
  const bool isLast = exchanges_.size() == 1 && !isReading_ && !HasMoreToRead();
  const bool endsHere = !response.keep_alive() || shared_->closeAfterAnswers;
  response.keep_alive(aExchange.keepAlive && !(isLast && endsHere));
  return response.keep_alive();
}

asio::awaitable<void>
HttpServerConnection::WriteAnswers()
{
  const auto self = shared_from_this();
  isWriting_ = true;
  while (!exchanges_.empty() && exchanges_.front()->response && !isBroken_) {
    const auto exchange = exchanges_.front();
    const bool keepAlive = PrepareNextAnswer(*exchange);
    isClosing_ = isClosing_ || !keepAlive;
    const bool written = co_await Write(*exchange->response);
    exchanges_.pop_front();
    if (!written) {
      isBroken_ = true;
      CancelExchanges();
    }
  }
  isWriting_ = false;
  boost::system::error_code error;
  if (isClosing_ || isBroken_) {
    // Ends the reader's wait for the next request.
    socket_.cancel(error);
  } else if (exchanges_.empty()) {
    SetDeadline(shared_->options.idleTimeout);
  }
  WakeReader();
}

bool
HttpServerConnection::IsClosedByClient()
{
  boost::system::error_code error;
  char byte = 0;
  socket_.non_blocking(true, error);
  socket_.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error && error != asio::error::would_block;
}

bool
HttpServerConnection::HasMoreToRead() const
{
  boost::system::error_code error;
  return buffer_.size() > 0 || socket_.available(error) > 0;
}

asio::awaitable<bool>
HttpServerConnection::Write(HttpResponse& aResponse)
{
  const auto& pacing = shared_->options.pacing;
  if (pacing && aResponse.body().size() >= pacing->largeBytes) {
    co_return co_await WritePaced(aResponse);
  }
  if (pacing) {
    pacing->onSmallAnswer(aResponse.body().size());
  }
  SetDeadline(shared_->options.writeTimeout);
  boost::system::error_code error;
  co_await http::async_write(
    socket_, aResponse, asio::redirect_error(asio::use_awaitable, error));
  deadline_ = Steady::time_point::max();
  co_return !error;
}

asio::awaitable<bool>
HttpServerConnection::WritePaced(HttpResponse& aResponse)
{
  const auto nextPiece =
    shared_->options.pacing->begin(aResponse.body().size());
  http::response_serializer<http::string_body> serializer(aResponse);
  SetDeadline(shared_->options.writeTimeout);
  boost::system::error_code error;
  co_await http::async_write_header(
    socket_, serializer, asio::redirect_error(asio::use_awaitable, error));
  auto left = asio::buffer(aResponse.body());
  while (!error && left.size() > 0) {
    deadline_ = Steady::time_point::max();
    const auto granted = co_await nextPiece();
    if (isBroken_) {
      // The client closed the connection during the wait.
      co_return false;
    }
    const auto size = std::min(granted, left.size());
    SetDeadline(shared_->options.writeTimeout);
    co_await asio::async_write(
      socket_,
      asio::buffer(left, size),
      asio::redirect_error(asio::use_awaitable, error));
    left += size;
  }
  deadline_ = Steady::time_point::max();
  co_return !error;
}

asio::awaitable<void>
HttpServerConnection::WriteError(http::status aStatus, const char* aReason)
{
  if (isBroken_) {
    co_return;
  }
  isClosing_ = true;
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
  if (isClosing_) {
    co_return;
  }
  if (aError == http::error::header_limit) {
    co_await WriteError(http::status::request_header_fields_too_large,
                        "bad-request");
  } else if (aError == http::error::body_limit) {
    co_await WriteError(http::status::payload_too_large, "bad-request");
  } else if (aError == asio::error::operation_aborted) {
    co_await WriteError(http::status::request_timeout, "timeout");
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
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  SetDeadline(kLingerTime);
  std::size_t total = 0;
  while (!error && total < kMaxLingerBytes) {
    buffer_.clear();
    total += co_await socket_.async_read_some(
      buffer_.prepare(kFirstReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  }
  socket_.close(error);
}

} // namespace teaselhold::transport
