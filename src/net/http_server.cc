#include "net/http_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/job_codec.h"

namespace deckhall {
namespace {

constexpr double kTellEvery = 60;

const char* Phrase(int status) {
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
      reaper_(loop, [this] { dropped_.clear(); }),
      sweeper_(loop, [this] { Sweep(); }),
      listener_(loop, at, [this](std::unique_ptr<TcpConn> c) { Accepted(std::move(c)); }) {
  sweeper_.Start(1.0, 1.0);
}

void HttpServer::Accepted(std::unique_ptr<TcpConn> tcp) {
  if (conns_.size() >= limits_.connections) {
    // A flood pushes out the connection that has been idle longest; with none
    // idle the newcomer goes.
    ++pushed_out_;
    if (loop_->Now() - told_full_at_ > kTellEvery) {
      told_full_at_ = loop_->Now();
      spdlog::warn(
          "connections={}: connection limit reached, idle connections are closed for new ones",
          limits_.connections);
    }
    if (idle_.empty()) return;
    Drop(idle_.front()->id);
  }
  auto conn = std::make_unique<Conn>(limits_);
  Conn* c = conn.get();
  c->id = next_id_++;
  c->at = idle_.end();
  Idle(c);
  c->tcp = std::move(tcp);
  const uint64_t id = c->id;
  c->tcp->SetCallbacks([this, c](std::string_view bytes) { OnData(c, bytes); },
                       [this, id] { Drop(id); });
  conns_.emplace(id, std::move(conn));
}

void HttpServer::OnData(Conn* c, std::string_view bytes) {
  if (c->closing) return;
  if (!c->parser.InMessage() && !c->busy) Idle(c);
  if (c->busy) {
    // Requests are not pipelined; whoever sends on regardless is held back.
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
    HttpAnswer answer;
    answer.status = c->parser.error_status();
    answer.body = EncodeError("malformed request");
    answer.close = true;
    Answer(c, answer);
    return;
  }
  HttpMessage request = c->parser.Take();
  Busy(c);
  c->keep_alive = request.keep_alive;
  const uint64_t id = c->id;
  handler_(std::move(request), [this, id](const HttpAnswer& answer) {
    auto it = conns_.find(id);
    if (it == conns_.end() || !it->second->busy || it->second->closing) return;
    Answer(it->second.get(), answer);
  });
}

void HttpServer::Answer(Conn* c, const HttpAnswer& answer) {
  const bool close = answer.close || !c->keep_alive;
  std::string out = "HTTP/1.1 " + std::to_string(answer.status) + " " + Phrase(answer.status) +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(answer.body.size()) + "\r\n";
  if (answer.retry_after_s > 0) {
    out += "Retry-After: " + std::to_string(answer.retry_after_s) + "\r\n";
  }
  if (!answer.allow.empty()) out += "Allow: " + answer.allow + "\r\n";
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  out += answer.body;
  Idle(c);
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
  Busy(it->second.get());
  it->second->closing = true;
  it->second->tcp->Abandon();
  dropped_.push_back(std::move(it->second));
  conns_.erase(it);
  if (!reaper_.active()) reaper_.Start(0);
}

void HttpServer::Idle(Conn* c) {
  Busy(c);
  c->busy = false;
  c->since = loop_->Now();
  c->at = idle_.insert(idle_.end(), c);
}

void HttpServer::Busy(Conn* c) {
  c->busy = true;
  if (c->at != idle_.end()) idle_.erase(c->at);
  c->at = idle_.end();
}

void HttpServer::Sweep() {
  const double now = loop_->Now();
  std::vector<uint64_t> gone;
  for (auto& [id, c] : conns_) {
    const double age = now - c->since;
    if (c->tcp->unsent() > 0) {
      if (age > limits_.answer_s) gone.push_back(id);
    } else if (!c->busy && !c->closing) {
      if (c->parser.InMessage() && age > limits_.request_s) {
        HttpAnswer answer;
        answer.status = 408;
        answer.body = EncodeError("request took too long");
        answer.close = true;
        Answer(c.get(), answer);
      } else if (age > limits_.idle_s) {
        gone.push_back(id);
      }
    }
  }
  for (uint64_t id : gone) Drop(id);
}

}  // namespace deckhall
