#include "net/http_client.h"

#include <algorithm>

namespace deckhall {

void HttpClient::Call(const Endpoint& to, const HttpCall& call, Done done) {
  const std::string peer = to.Text();
  auto& pool = idle_[peer];
  Conn* c = nullptr;
  if (!pool.empty()) {
    c = pool.back();
    pool.pop_back();
  } else {
    if (conns_.size() >= max_connections_) DropOldestIdle();
    std::unique_ptr<TcpConn> tcp;
    if (conns_.size() < max_connections_) tcp = TcpConn::Connect(loop_, to);
    if (!tcp) {
      failed_calls_.Add([done = std::move(done)] { done(HttpResult()); });
      return;
    }
    auto conn = std::make_unique<Conn>(max_body_bytes_);
    c = conn.get();
    c->id = next_id_++;
    c->peer = peer;
    c->tcp = std::move(tcp);
    c->timer = std::make_unique<Timer>(loop_, [this, c] { Fail(c); });
    c->tcp->SetCallbacks([this, c](std::string_view bytes) { OnData(c, bytes); },
                         [this, c] { Fail(c); });
    conns_.emplace(c->id, std::move(conn));
  }
  Send(c, call, std::move(done));
}

void HttpClient::Send(Conn* c, const HttpCall& call, Done done) {
  c->done = std::move(done);
  c->timer->Start(call.timeout_s);
  std::string out = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + c->peer + "\r\n";
  if (!call.body.empty()) {
    out += "Content-Type: application/json\r\n";
  }
  if (call.method != "GET") {
    out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  out += "\r\n";
  out += call.body;
  c->tcp->Send(out);
}

void HttpClient::OnData(Conn* c, std::string_view bytes) {
  if (!c->done) {
    Drop(c);  // data without a pending request
    return;
  }
  const auto result = c->parser.Feed(bytes);
  if (result == HttpParser::Result::kMore) return;
  if (result == HttpParser::Result::kError) {
    Fail(c);
    return;
  }
  HttpMessage message = c->parser.Take();
  if (message.status < 200) return;
  c->timer->Stop();
  HttpResult call_result;
  call_result.status = message.status;
  call_result.sent = true;
  call_result.retry_after_s = message.retry_after_s;
  call_result.body = std::move(message.body);
  Done done = std::move(c->done);
  c->done = nullptr;
  if (message.keep_alive && !c->parser.InMessage()) {
    c->used_before = true;
    c->idle_since = loop_->Now();
    idle_[c->peer].push_back(c);
  } else {
    Drop(c);
  }
  done(std::move(call_result));
}

void HttpClient::Fail(Conn* c) {
  HttpResult call_result;
  call_result.sent = c->tcp->connected();
  Done done = std::move(c->done);
  c->done = nullptr;
  Drop(c);
  if (done) done(std::move(call_result));
}

void HttpClient::Drop(Conn* c) {
  auto& pool = idle_[c->peer];
  pool.erase(std::remove(pool.begin(), pool.end(), c), pool.end());
  c->timer->Stop();
  auto it = conns_.find(c->id);
  if (it == conns_.end()) return;
  c->tcp->Abandon();
  dropped_.Add(std::move(it->second));
  conns_.erase(it);
}

// With more peers than connections, closes the connections that have been idle longest. Closes only
// a few at a time: if all were closed, every call would have to connect again.
void HttpClient::DropOldestIdle() {
  std::vector<Conn*> idle;
  for (auto& [peer, pool] : idle_) idle.insert(idle.end(), pool.begin(), pool.end());
  const size_t count = std::min(idle.size(), std::max<size_t>(1, max_connections_ / 16));
  std::partial_sort(idle.begin(), idle.begin() + static_cast<ptrdiff_t>(count), idle.end(),
                    [](const Conn* a, const Conn* b) { return a->idle_since < b->idle_since; });
  for (size_t i = 0; i < count; ++i) Drop(idle[i]);
}

void HttpClient::CloseIdleConnections(double idle_s) {
  const double now = loop_->Now();
  std::vector<Conn*> expired;
  for (auto& [peer, pool] : idle_) {
    for (Conn* c : pool) {
      if (now - c->idle_since >= idle_s) expired.push_back(c);
    }
  }
  for (Conn* c : expired) Drop(c);
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace deckhall
