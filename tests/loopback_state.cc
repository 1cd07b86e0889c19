#include "loopback_state.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace deckhall {
namespace {

constexpr double kTickSeconds = 0.02;

HttpResponse MakeResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

// Returns the value of a query parameter; empty if it is missing.
std::string Parameter(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

std::string Text(const JsonValue& value) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

Endpoint FreeEndpoint(const std::string& host) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), size), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return {host, ntohs(address.sin_port)};
}

LoopbackState::LoopbackState(Loop* loop, const Endpoint& at)
    : ticker_(loop, [this] { Tick(); }),
      server_(loop, at, HttpServerLimits(),
              [this](const HttpMessage& request, const HttpServer::Reply& reply) {
                Handle(request, reply);
              }) {
  ticker_.Start(kTickSeconds, kTickSeconds);
}

void LoopbackState::SetUnavailableUntil(double until) { unavailable_until_ = until; }

std::string LoopbackState::Leader() const {
  auto it = keys_.find("deckhall/leader");
  if (it == keys_.end()) return "";
  rapidjson::Document doc;
  std::string label;
  if (ParseJson(it->second.value, &doc)) JsonString(doc, "label", &label);
  return label;
}

std::string LoopbackState::Revision() const {
  return "{\"marea\":" + std::to_string(revision_) + "}";
}

void LoopbackState::Handle(const HttpMessage& request, const HttpServer::Reply& reply) {
  const std::string& target = request.target;
  if (target.starts_with("/follow")) {
    const std::string from = Parameter(target, "from");
    const std::string hold_ms = Parameter(target, "hold_ms");
    pending_watches_.push_back({Parameter(target, "starts"), std::stoull(from),
                                SteadySeconds() + std::stod(hold_ms) / 1000, reply});
    return;
  }
  if (SteadySeconds() < unavailable_until_) {
    reply(MakeResponse(503, "{}"));
  } else if (target.starts_with("/kv/")) {
    reply(Get(target.substr(4)));
  } else if (target.starts_with("/kv")) {
    const std::string page = Parameter(target, "page");
    reply(List(Parameter(target, "starts"), Parameter(target, "from"),
               page.empty() ? 1000 : std::stoul(page)));
  } else if (target == "/txn") {
    reply(Commit(request.body));
  } else {
    reply(HandleLeases(request));
  }
}

HttpResponse LoopbackState::Get(const std::string& key) const {
  auto it = keys_.find(key);
  if (it == keys_.end()) return MakeResponse(404, Revision());
  return MakeResponse(200, "{\"key\":\"" + key + "\",\"data\":" + it->second.value +
                               ",\"huella\":" + std::to_string(it->second.version) +
                               ",\"amarre\":" + std::to_string(it->second.lease) + "}");
}

HttpResponse LoopbackState::List(const std::string& prefix, const std::string& after,
                                 size_t page) const {
  std::string rows;
  size_t count = 0;
  bool truncated = false;
  for (const auto& [key, entry] : keys_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    truncated = count >= page;
    if (truncated) break;
    if (count++ > 0) rows += ',';
    rows += "{\"key\":\"" + key + "\",\"data\":" + entry.value +
            ",\"huella\":" + std::to_string(entry.version) + "}";
  }
  return MakeResponse(200, "{\"rows\":[" + rows +
                               "],\"truncated\":" + (truncated ? "true" : "false") +
                               ",\"marea\":" + std::to_string(revision_) + "}");
}

HttpResponse LoopbackState::Commit(const std::string& body) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc)) return MakeResponse(400, "{}");
  if (const JsonValue* conditions = JsonMember(doc, "if")) {
    for (const auto& precondition : conditions->GetArray()) {
      auto it = keys_.find(precondition["key"].GetString());
      const uint64_t version = it == keys_.end() ? 0 : it->second.version;
      if (version != precondition["huella"].GetUint64()) {
        return MakeResponse(409, "{\"failed\":[],\"marea\":" + std::to_string(revision_) + "}");
      }
    }
  }
  const JsonValue* writes = JsonMember(doc, "writes");
  if (writes == nullptr) return MakeResponse(200, Revision());
  for (const auto& write : writes->GetArray()) {
    uint64_t lease = 0;
    if (JsonU64(write, "amarre", &lease) && !leases_.contains(lease)) {
      return MakeResponse(400, "{\"error\":\"no such lease\"}");
    }
  }
  ++revision_;
  for (const auto& write : writes->GetArray()) {
    std::string key;
    if (JsonString(write, "remove", &key)) {
      keys_.erase(key);
    } else if (JsonString(write, "put", &key)) {
      Entry entry{Text(write["data"]), revision_, 0};
      JsonU64(write, "amarre", &entry.lease);
      keys_[key] = entry;
    }
    changed_at_[key] = revision_;
  }
  return MakeResponse(200, Revision());
}

HttpResponse LoopbackState::HandleLeases(const HttpMessage& request) {
  constexpr std::string_view kPath = "/grants";
  if (request.target == kPath) {
    rapidjson::Document doc;
    double ttl_ms = 0;
    if (!ParseJson(request.body, &doc) || !JsonNumber(doc, "ttl_ms", &ttl_ms)) {
      return MakeResponse(400, "{}");
    }
    const uint64_t id = next_lease_++;
    leases_[id] = {ttl_ms / 1000, SteadySeconds() + ttl_ms / 1000};
    return MakeResponse(200, "{\"amarre\":" + std::to_string(id) + "}");
  }
  const uint64_t id = std::stoull(request.target.substr(kPath.size() + 1));
  auto it = leases_.find(id);
  if (it == leases_.end()) return MakeResponse(404, Revision());
  if (request.method == "DELETE") {
    EndLease(id);
  } else {
    it->second.expires_at = SteadySeconds() + it->second.ttl_s;
  }
  return MakeResponse(200, "{}");
}

void LoopbackState::EndLease(uint64_t lease) {
  leases_.erase(lease);
  ++revision_;
  for (const auto& [key, entry] : keys_) {
    if (entry.lease == lease) changed_at_[key] = revision_;
  }
  std::erase_if(keys_, [lease](const auto& entry) { return entry.second.lease == lease; });
}

bool LoopbackState::ChangedAfter(const std::string& prefix, uint64_t revision) const {
  for (const auto& [key, at] : changed_at_) {
    if (at > revision && key.starts_with(prefix)) return true;
  }
  return false;
}

void LoopbackState::Tick() {
  const double now = SteadySeconds();
  if (now < unavailable_until_) {
    for (auto& [id, lease] : leases_) lease.expires_at = unavailable_until_ + lease.ttl_s;
    return;
  }
  std::vector<uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (now > lease.expires_at) expired.push_back(id);
  }
  for (uint64_t id : expired) EndLease(id);
  std::vector<PendingWatch> ready;
  std::erase_if(pending_watches_, [this, now, &ready](const PendingWatch& watch) {
    if (now < watch.until && !ChangedAfter(watch.prefix, watch.after)) return false;
    ready.push_back(watch);
    return true;
  });
  for (const PendingWatch& watch : ready) {
    watch.reply(MakeResponse(200, "{\"marea\":" + std::to_string(revision_) + ",\"events\":[]}"));
  }
}

}  // namespace deckhall
