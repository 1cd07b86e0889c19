#include "net/http_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/job_codec.h"

namespace deckhall {
namespace {

constexpr double kLimitLogIntervalSeconds = 60;

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

}  // namespace

HttpServer::HttpServer(Loop* loop, const Endpoint& at, HttpServerLimits limits, Handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      dropped_(loop),
      timeout_timer_(loop, [this] { CloseTimedOutConnections(); }),
      listener_(loop, at, [this](std::unique_ptr<TcpConn> c) { OnAccept(std::move(c)); }) {
  timeout_timer_.Start(1.0, 1.0);
}

void HttpServer::OnAccept(std::unique_ptr<TcpConn> tcp) {
  if (conns_.size() >= limits_.connections) {
    // Closes the connection that has waited longest for its client, or the new one if all others
    // are busy.
    ++over_limit_connections_;
    if (loop_->Now() - limit_logged_at_ > kLimitLogIntervalSeconds) {
      limit_logged_at_ = loop_->Now();
      spdlog::warn(
          "connections={}: connection limit reached; closing idle connections to accept new ones",
          limits_.connections);
    }
    if (idle_.empty()) return;
    Drop(idle_.front()->id);
  }
  auto conn = std::make_unique<Conn>(limits_);
  Conn* c = conn.get();
  c->id = next_id_++;
  c->idle_position = idle_.end();
  MarkIdle(c);
  c->tcp = std::move(tcp);
  const uint64_t id = c->id;
  c->tcp->SetCallbacks([this, c](std::string_view bytes) { OnData(c, bytes); },
                       [this, id] { Drop(id); });
  conns_.emplace(id, std::move(conn));
}

void HttpServer::OnData(Conn* c, std::string_view bytes) {
  if (c->closing) return;
  if (!c->parser.InMessage() && !c->busy) MarkIdle(c);
  if (c->busy) {
    // Pipelined requests are not handled in parallel: reading pauses until the response is sent.
    c->tcp->PauseReading(true);
  }
  const auto result = c->parser.Feed(bytes);
  if (!c->busy) Handle(c, result);
}

void HttpServer::Handle(Conn* c, HttpParser::Result result) {
  if (result == HttpParser::Result::kMore) {
    if (c->parser.Expects100()) {
      c->parser.ClearExpect();
      c->tcp->Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  if (result == HttpParser::Result::kError) {
    HttpResponse response;
    response.status = c->parser.error_status();
    LogRefusal(response.status);
    response.body = EncodeError("malformed request");
    response.close = true;
    SendResponse(c, response);
    return;
  }
  HttpMessage request = c->parser.Take();
  MarkBusy(c);
  c->keep_alive = request.keep_alive;
  const uint64_t id = c->id;
  handler_(std::move(request), [this, id](const HttpResponse& response) {
    auto it = conns_.find(id);
    if (it == conns_.end() || !it->second->busy || it->second->closing) return;
    SendResponse(it->second.get(), response);
  });
}

void HttpServer::LogRefusal(int status) {
  const double now = loop_->Now();
  if (now - refusal_logged_at_ < kLimitLogIntervalSeconds) return;
  refusal_logged_at_ = now;
  spdlog::warn("status={} max_body_bytes={}: request refused: malformed or too large", status,
               limits_.body_bytes);
}

void HttpServer::SendResponse(Conn* c, const HttpResponse& response) {
  const bool close = response.close || !c->keep_alive;
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " +
                    ReasonPhrase(response.status) +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after_s > 0) {
    out += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  }
  if (!response.allow.empty()) out += "Allow: " + response.allow + "\r\n";
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  out += response.body;
  MarkIdle(c);
  c->tcp->Send(out);
  if (close) {
    c->closing = true;
    c->tcp->CloseAfterSend();
    return;
  }
  c->tcp->PauseReading(false);
  if (c->parser.InMessage()) Handle(c, c->parser.Resume());
}

void HttpServer::Drop(uint64_t id) {
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  MarkBusy(it->second.get());
  it->second->closing = true;
  it->second->tcp->Abandon();
  dropped_.Add(std::move(it->second));
  conns_.erase(it);
}

void HttpServer::MarkIdle(Conn* c) {
  MarkBusy(c);
  c->busy = false;
  c->waiting_since = loop_->Now();
  c->idle_position = idle_.insert(idle_.end(), c);
}

void HttpServer::MarkBusy(Conn* c) {
  c->busy = true;
  if (c->idle_position != idle_.end()) idle_.erase(c->idle_position);
  c->idle_position = idle_.end();
}

void HttpServer::CloseTimedOutConnections() {
  const double now = loop_->Now();
  std::vector<uint64_t> timed_out;
  for (auto& [id, c] : conns_) {
    const double age = now - c->waiting_since;
    if (c->tcp->unsent() > 0) {
      if (age > limits_.response_timeout_s) timed_out.push_back(id);
    } else if (!c->busy && !c->closing) {
      if (c->parser.InMessage() && age > limits_.request_timeout_s) {
        HttpResponse response;
        response.status = 408;
        response.body = EncodeError("request took too long");
        response.close = true;
        SendResponse(c.get(), response);
      } else if (age > limits_.idle_timeout_s) {
        timed_out.push_back(id);
      }
    }
  }
  for (uint64_t id : timed_out) Drop(id);
}

}  // namespace deckhall
