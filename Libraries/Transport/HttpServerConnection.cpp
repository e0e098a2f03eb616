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

/// What a connection reads ahead of its parser besides a head: the start of a
/// body, and the last chunk before trailers.
constexpr std::size_t kFramingBytes = 4096;

/// An open connection without a request: its socket, buffer and coroutines.
constexpr std::uint64_t kConnectionBytes = 8192;

/// A field takes this besides its bytes.
constexpr std::uint64_t kFieldBytes = 96;

/// The rates below which a peer is too slow.
constexpr std::uint64_t kBodyBytesPerSecond = 1024 * 1024;
constexpr std::size_t kPacedBytesPerSecond = 64UL * 1024;

/// Reading or writing one message, while little memory is left.
constexpr std::chrono::seconds kTightTime{ 2 };

template<typename Fields>
std::uint64_t
HeadBytes(const Fields& aFields)
{
  std::uint64_t bytes = 0;
  for (const auto& field : aFields) {
    bytes += kFieldBytes + field.name_string().size() + field.value().size();
  }
  return bytes;
}

/// @return the first capacity of a body of unknown length. A string doubles
/// when it grows, and from here a body of the limit ends without spare room.
std::uint64_t
FirstBodyBytes(std::uint64_t aLimit)
{
  constexpr std::uint64_t kMostBytes = 16384;
  while (aLimit > kMostBytes) {
    aLimit = (aLimit + 1) / 2;
  }
  return aLimit;
}

/// @return the capacity of a body after the next part.
/// @param aPart largest part.
std::uint64_t
NextBodyBytes(const std::string& aBody, std::size_t aPart, std::uint64_t aLimit)
{
  const std::uint64_t capacity = aBody.capacity();
  const auto needed = std::min<std::uint64_t>(aBody.size() + aPart, aLimit);
  return needed <= capacity ? capacity : std::max(2 * capacity, needed);
}

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

struct HttpServerConnection::Exchange
{
  Exchange(std::shared_ptr<HttpServer::Shared> aShared,
           MemoryBudget::HolderPointer aMemory,
           DescriptorBudget::LeasePointer aLease)
    : shared(std::move(aShared))
    , memory(std::move(aMemory))
    , lease(std::move(aLease))
  {
    ++shared->inFlight;
  }
  ~Exchange() { --shared->inFlight; }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  std::shared_ptr<HttpServer::Shared> shared;
  /// Of the request, and of the answer once it is there.
  MemoryShare memory;
  DescriptorBudget::LeasePointer lease;
  HttpRequest request;
  CancellationPointer cancellation = std::make_shared<Cancellation>();
  bool keepAlive = true;
  bool isHead = false;
  unsigned version = 11;
  std::optional<HttpResponse> response;
};

HttpServerConnection::HttpServerConnection(
  asio::ip::tcp::socket aSocket,
  const asio::ip::address& aPeer,
  DescriptorBudget::LeasePointer aLease,
  std::shared_ptr<HttpServer::Shared> aShared)
  : socket_(std::move(aSocket))
  , lease_(std::move(aLease))
  , shared_(std::move(aShared))
  , wake_(socket_.get_executor())
  , memory_(
      std::make_shared<MemoryBudget::Holder>(shared_->options.limits->memory,
                                             aPeer))
  , ownMemory_(memory_)
{
  SetRequestOptions(socket_);
  shared_->connections.push_back(*this);
}

void
HttpServerConnection::SetReadLimit(std::chrono::milliseconds aTime)
{
  const auto now = Steady::now();
  reading_ = { now, now + aTime };
}

void
HttpServerConnection::SetWriteLimit(std::chrono::milliseconds aTime)
{
  const auto now = Steady::now();
  writing_ = { now, now + aTime };
}

void
HttpServerConnection::EndIfOverdue(TimePoint aNow, bool aIsTight)
{
  const auto isOver = [&](const Limit& aLimit) {
    const bool isWaiting = aLimit.until != TimePoint::max();
    return aNow >= aLimit.until ||
           (isWaiting && aIsTight && aNow >= aLimit.since + kTightTime);
  };
  boost::system::error_code error;
  if (isOver(writing_)) {
    writing_ = {};
    shared_->options.limits->Count(PeerRefusal::SlowReader);
    // Ends handlers, which may change the list that is swept.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->Break(); });
  } else if (idle_ ? aNow >= reading_.until : isOver(reading_)) {
    // A read that has just ended misses it, so the limit stays for the next.
    socket_.cancel(error);
  }
}

bool
HttpServerConnection::MakeWay(IdleKind aKind)
{
  const auto kind =
    hasServed_ && !isLingering_ ? IdleKind::Answered : IdleKind::Silent;
  const bool isIdle = idle_ && exchanges_.empty() && !HasMoreToRead();
  if (aKind != kind || lease_ == nullptr || !(isIdle || isLingering_)) {
    return false;
  }
  shared_->options.limits->Count(PeerRefusal::Idle);
  isBroken_ = true;
  // The descriptor is free before the next connection is accepted.
  lease_.reset();
  boost::system::error_code error;
  socket_.cancel(error);
  return true;
}

void
HttpServerConnection::Break()
{
  isBroken_ = true;
  CancelExchanges();
  boost::system::error_code error;
  socket_.close(error);
  WakeReader();
}

asio::awaitable<void>
HttpServerConnection::Run()
{
  const auto self = shared_from_this();
  ++shared_->open;
  bool open = true;
  if (!ownMemory_.TryResize(MemoryUse::Request, kConnectionBytes)) {
    co_await Turn(PeerRefusal::Memory);
  }
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
  lease_.reset();
  ownMemory_.Resize(0);
  --shared_->open;
}

asio::awaitable<void>
HttpServerConnection::Refuse()
{
  const auto self = shared_from_this();
  ++shared_->open;
  ++shared_->refusing;
  co_await WriteError(http::status::service_unavailable, "full");
  co_await LingeringClose();
  --shared_->refusing;
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
  return exchanges_.size() < kMaxExchanges && !shared_->closeAfterAnswers &&
         shared_->options.limits->descriptors->MayReadAhead();
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
  reading_ = {};
  if (exchanges_.empty()) {
    SetReadLimit(shared_->draining ? shared_->options.headerTimeout
                                   : shared_->options.idleTimeout);
    buffer_.shrink_to_fit();
  }
  // Idle connections are in the order in which they became idle.
  unlink();
  shared_->connections.push_back(*this);
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
  DescriptorBudget::LeasePointer lease;
  if (shared_->options.countsRequests) {
    lease = shared_->options.limits->descriptors->BeginRequest();
    if (lease == nullptr) {
      co_await Turn(PeerRefusal::Requests);
      co_return nullptr;
    }
  }
  auto exchange =
    std::make_shared<Exchange>(shared_, memory_, std::move(lease));
  Parser parser;
  const bool hasHead = co_await ReadHead(parser, *exchange);
  if (!hasHead) {
    co_return nullptr;
  }
  const bool isOffered =
    !parser.is_done() &&
    boost::beast::iequals(parser.get()[http::field::expect], "100-continue");
  BodyAdmission admission;
  if (isOffered) {
    admission = co_await InviteBody(parser.get());
    if (admission.refusal) {
      exchange->response = std::move(admission.refusal);
      co_return exchange;
    }
  }
  const bool complete = co_await ReadBody(parser, *exchange, admission);
  if (!complete) {
    co_return nullptr;
  }
  exchange->request = parser.release();
  exchange->keepAlive = exchange->request.keep_alive();
  exchange->isHead = exchange->request.method() == http::verb::head;
  exchange->version = exchange->request.version();
  co_return exchange;
}

asio::awaitable<bool>
HttpServerConnection::ReadHead(Parser& aParser, Exchange& aExchange)
{
  const auto& options = shared_->options;
  buffer_.max_size(std::max<std::size_t>(options.maxHeaderBytes + kFramingBytes,
                                         buffer_.size()));
  if (!aExchange.memory.TryResize(MemoryUse::Request, buffer_.max_size())) {
    co_await Turn(PeerRefusal::Memory);
    co_return false;
  }
  aParser.header_limit(options.maxHeaderBytes);
  aParser.body_limit(options.maxBodyBytes);
  boost::system::error_code error;
  SetReadLimit(options.headerTimeout);
  co_await http::async_read_header(
    socket_,
    buffer_,
    aParser,
    asio::redirect_error(asio::use_awaitable, error));
  reading_ = {};
  if (error) {
    co_await WaitForAnswers();
    co_await Reject(error);
    co_return false;
  }
  // The parser reserves a body of known length when it reads the first part.
  const auto bytes = HeadBytes(aParser.get()) + buffer_.capacity() +
                     aParser.content_length().value_or(0);
  if (!aExchange.memory.TryResize(MemoryUse::Request, bytes)) {
    co_await Turn(PeerRefusal::Memory);
    co_return false;
  }
  co_return true;
}

asio::awaitable<void>
HttpServerConnection::Turn(PeerRefusal aRefusal)
{
  shared_->options.limits->Count(aRefusal);
  co_await WaitForAnswers();
  co_await WriteError(http::status::service_unavailable, "full");
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
  SetWriteLimit(shared_->options.writeTimeout);
  // A client that is gone is noticed when its body is read.
  boost::system::error_code ignored;
  co_await asio::async_write(
    socket_,
    asio::buffer(kContinue.data(), kContinue.size()),
    asio::redirect_error(asio::use_awaitable, ignored));
  writing_ = {};
  co_return admission;
}

asio::awaitable<bool>
HttpServerConnection::ReadBody(Parser& aParser,
                               Exchange& aExchange,
                               const BodyAdmission& aAdmission)
{
  const auto& options = shared_->options;
  const auto& body = aParser.get().body();
  std::size_t extensions = 0;
  auto onChunk = [&](std::uint64_t /*aSize*/,
                     boost::string_view aExtensions,
                     boost::system::error_code& aError) {
    extensions += aExtensions.size();
    if (extensions > options.maxHeaderBytes) {
      aError = http::error::header_limit;
    }
  };
  aParser.on_chunk_header(onChunk);
  const auto head = HeadBytes(aParser.get()) + buffer_.max_size();
  const auto bodyLimit = options.maxBodyBytes;
  if (aParser.chunked()) {
    aParser.get().body().reserve(FirstBodyBytes(bodyLimit));
  }
  SetReadLimit(options.bodyTimeout);
  boost::system::error_code error;
  while (!aParser.is_done()) {
    const auto before = body.size();
    if (aParser.chunked() &&
        !aExchange.memory.TryResize(
          MemoryUse::Request,
          head + NextBodyBytes(body, buffer_.max_size(), bodyLimit))) {
      co_await Turn(PeerRefusal::Memory);
      co_return false;
    }
    co_await http::async_read_some(
      socket_,
      buffer_,
      aParser,
      asio::redirect_error(asio::use_awaitable, error));
    if (aAdmission.onReceived) {
      aAdmission.onReceived(body.size() - before);
    }
    // A sender whose bytes are always there is never cancelled in a wait.
    if (!error && !aParser.is_done() && Steady::now() >= reading_.until) {
      error = asio::error::operation_aborted;
    }
    if (error) {
      reading_ = {};
      co_await WaitForAnswers();
      co_await Reject(error);
      co_return false;
    }
    reading_.until = reading_.since + options.bodyTimeout +
                     std::chrono::seconds(body.size() / kBodyBytesPerSecond);
  }
  reading_ = {};
  if (aParser.chunked()) {
    // Trailers are fields too.
    const auto bytes = HeadBytes(aParser.get()) + body.capacity();
    if (!aExchange.memory.TryResize(MemoryUse::Request, bytes)) {
      co_await Turn(PeerRefusal::Memory);
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
  aExchange->memory.Resize(HeadBytes(response) + response.body().capacity());
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
  } else if (exchanges_.empty() && idle_) {
    SetReadLimit(shared_->options.idleTimeout);
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
  SetWriteLimit(shared_->options.writeTimeout);
  boost::system::error_code error;
  co_await http::async_write(
    socket_, aResponse, asio::redirect_error(asio::use_awaitable, error));
  writing_ = {};
  co_return !error;
}

asio::awaitable<bool>
HttpServerConnection::WritePaced(HttpResponse& aResponse)
{
  const auto nextPiece =
    shared_->options.pacing->begin(aResponse.body().size());
  http::response_serializer<http::string_body> serializer(aResponse);
  SetWriteLimit(shared_->options.writeTimeout);
  boost::system::error_code error;
  co_await http::async_write_header(
    socket_, serializer, asio::redirect_error(asio::use_awaitable, error));
  auto left = asio::buffer(aResponse.body());
  // Only the client's time counts, not the waits for the link.
  Steady::duration timeLeft =
    shared_->options.writeTimeout +
    std::chrono::seconds(left.size() / kPacedBytesPerSecond);
  while (!error && left.size() > 0) {
    writing_ = {};
    const auto granted = co_await nextPiece();
    if (isBroken_) {
      // The client closed the connection during the wait.
      co_return false;
    }
    const auto size = std::min(granted, left.size());
    SetWriteLimit(std::min(
      shared_->options.writeTimeout,
      std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft)));
    co_await asio::async_write(
      socket_,
      asio::buffer(left, size),
      asio::redirect_error(asio::use_awaitable, error));
    timeLeft -= Steady::now() - writing_.since;
    left += size;
  }
  writing_ = {};
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
  auto& limits = *shared_->options.limits;
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    limits.Count(PeerRefusal::Header);
    co_await WriteError(http::status::request_header_fields_too_large,
                        "bad-request");
  } else if (aError == http::error::body_limit) {
    limits.Count(PeerRefusal::Body);
    co_await WriteError(http::status::payload_too_large, "bad-request");
  } else if (aError == asio::error::operation_aborted) {
    limits.Count(PeerRefusal::SlowSender);
    co_await WriteError(http::status::request_timeout, "timeout");
  } else if (aError.category() ==
               make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream &&
             aError != http::error::partial_message) {
    limits.Count(PeerRefusal::Malformed);
    co_await WriteError(http::status::bad_request, "bad-request");
  }
}

asio::awaitable<void>
HttpServerConnection::LingeringClose()
{
  boost::system::error_code error;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  SetReadLimit(kLingerTime);
  isLingering_ = true;
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
