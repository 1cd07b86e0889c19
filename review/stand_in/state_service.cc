#include "state_service.h"

#include "wire/json.h"

namespace review {
namespace {

using deckhall::HttpMessage;
using deckhall::HttpResponse;
using deckhall::HttpServer;
using deckhall::HttpServerLimits;
using deckhall::JsonMember;
using deckhall::JsonString;
using deckhall::JsonU64;
using deckhall::JsonValue;
using deckhall::JsonWriter;
using deckhall::ParseJson;

constexpr double kTickSeconds = 0.01;

HttpResponse Make(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string Parameter(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) return "";
  size_t at = query;
  while (at != std::string::npos) {
    const size_t from = at + 1;
    const size_t end = target.find('&', from);
    const std::string part =
        target.substr(from, end == std::string::npos ? std::string::npos : end - from);
    if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
    at = end;
  }
  return "";
}

uint64_t Number(const std::string& text, uint64_t otherwise) {
  return text.empty() ? otherwise : std::stoull(text);
}

std::string Text(const JsonValue& value) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

std::string Row(const std::string& key, const std::string& value, uint64_t version,
                uint64_t lease) {
  return "{\"key\":\"" + key + "\",\"data\":" + value + ",\"huella\":" + std::to_string(version) +
         (lease == 0 ? "" : ",\"amarre\":" + std::to_string(lease)) + "}";
}

}  // namespace

StateService::StateService(Loop* loop, uint64_t seed)
    : loop_(loop), random_(seed), ticker_(loop, [this] { Tick(); }) {
  ticker_.Start(kTickSeconds, kTickSeconds);
}

size_t StateService::AddDoor() {
  const size_t index = doors_.size();
  auto open = std::make_unique<OpenDoor>();
  open->endpoint = FreeEndpoint();
  open->server = std::make_unique<HttpServer>(
      loop_, open->endpoint, HttpServerLimits(),
      [this, index](const HttpMessage& request, const HttpServer::Reply& reply) {
        Handle(index, request, reply);
      });
  doors_.push_back(std::move(open));
  return index;
}

std::string StateService::Leader() const {
  const auto it = keys_.find("deckhall/leader");
  std::string label;
  rapidjson::Document document;
  if (it != keys_.end() && ParseJson(it->second.value, &document)) {
    JsonString(document, "label", &label);
  }
  return label;
}

uint64_t StateService::LeaderTerm() const {
  const auto it = keys_.find("deckhall/leader");
  return it == keys_.end() ? 0 : it->second.version;
}

std::string StateService::ValueOf(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? "" : it->second.value;
}

bool StateService::IsOut(size_t door) const {
  const double now = SteadySeconds();
  return now < outage_until_ || now < doors_[door]->door.refused_until;
}

// A rate limit with a burst of one second.
bool StateService::Take(double* level, double* at, double rate, double amount) {
  const double now = SteadySeconds();
  *level = std::min(rate, *level + (now - *at) * rate);
  *at = now;
  if (*level < amount) {
    ++throttled_;
    return false;
  }
  *level -= amount;
  return true;
}

void StateService::Handle(size_t door, const HttpMessage& request, const HttpServer::Reply& reply) {
  const std::string& target = request.target;
  if (!Take(&request_level_, &request_at_, limits_.rps, 1)) {
    reply(Make(429, "{}"));
    return;
  }
  if (target.starts_with("/follow")) {
    watches_.push_back({door, Parameter(target, "starts"), Number(Parameter(target, "from"), 0),
                        SteadySeconds() + std::stod("0" + Parameter(target, "hold_ms")) / 1000,
                        reply});
    return;
  }
  if (IsOut(door)) {
    reply(Make(503, "{\"error\":\"trouble\"}"));
    return;
  }
  if (target == "/txn") {
    const Door& settings = doors_[door]->door;
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    if (draw < settings.late_share) {
      const double delay_s = std::uniform_real_distribution<double>(2, 12)(random_);
      late_.push_back({SteadySeconds() + delay_s, request.body});
      return;
    }
    const HttpResponse response = Commit(request.body);
    if (draw < settings.late_share + settings.lost_answer_share) return;
    reply(response);
  } else if (target.starts_with("/kv/")) {
    reply(Get(target.substr(4)));
  } else if (target.starts_with("/kv")) {
    reply(List(target));
  } else if (target.starts_with("/grants")) {
    reply(HandleGrants(request));
  } else {
    reply(Make(400, "{}"));
  }
}

HttpResponse StateService::Get(const std::string& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return Make(404, Revision());
  return Make(200, Row(key, it->second.value, it->second.version, it->second.lease));
}

HttpResponse StateService::List(const std::string& target) const {
  constexpr size_t kMaxBytes = 512 << 10;
  const std::string prefix = Parameter(target, "starts");
  const std::string after = Parameter(target, "from");
  const uint64_t page = std::min<uint64_t>(1000, Number(Parameter(target, "page"), 1000));
  std::string rows;
  uint64_t count = 0;
  bool truncated = false;
  for (const auto& [key, entry] : keys_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    truncated = count >= page || rows.size() + entry.value.size() > kMaxBytes;
    if (truncated) break;
    rows += (count++ > 0 ? "," : "") + Row(key, entry.value, entry.version, entry.lease);
  }
  return Make(200, "{\"rows\":[" + rows + "],\"truncated\":" + (truncated ? "true" : "false") +
                       ",\"marea\":" + std::to_string(revision_) + "}");
}

HttpResponse StateService::Commit(const std::string& body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document) || !document.IsObject()) return Make(400, "{}");
  const JsonValue* changes = JsonMember(document, "writes");
  const JsonValue* compared = JsonMember(document, "if");
  const size_t puts = changes == nullptr ? 0 : changes->Size();
  bool too_large = body.size() > (64 << 10) || puts > limits_.txn_ops ||
                   (compared != nullptr && compared->Size() > 4 * limits_.txn_ops);
  for (size_t i = 0; i < puts; ++i) {
    const JsonValue* data = JsonMember((*changes)[static_cast<unsigned>(i)], "data");
    too_large = too_large || (data != nullptr &&
                              static_cast<double>(Text(*data).size()) > limits_.value_kb * 1024);
  }
  if (too_large) {
    ++rejected_;
    return Make(400, "{\"error\":\"too large\"}");
  }
  if (!Take(&write_level_, &write_at_, limits_.write_rps, static_cast<double>(puts))) {
    return Make(429, "{}");
  }
  std::string failed;
  if (const JsonValue* conditions = JsonMember(document, "if")) {
    for (const auto& condition : conditions->GetArray()) {
      std::string key;
      uint64_t version = 0;
      if (!JsonString(condition, "key", &key) || !JsonU64(condition, "huella", &version)) {
        return Make(400, "{}");
      }
      const auto it = keys_.find(key);
      if ((it == keys_.end() ? 0 : it->second.version) == version) continue;
      failed += (failed.empty() ? "\"" : ",\"") + key + "\"";
    }
  }
  if (!failed.empty()) {
    return Make(409, "{\"failed\":[" + failed + "],\"marea\":" + std::to_string(revision_) + "}");
  }
  const JsonValue* writes = JsonMember(document, "writes");
  if (writes == nullptr || writes->Empty()) return Make(200, Revision());
  for (const auto& write : writes->GetArray()) {
    uint64_t lease = 0;
    if (JsonU64(write, "amarre", &lease) && !leases_.contains(lease)) {
      return Make(400, "{\"error\":\"no such lease\"}");
    }
  }
  ++revision_;
  for (const auto& write : writes->GetArray()) {
    std::string key;
    if (JsonString(write, "remove", &key)) {
      keys_.erase(key);
      changes_.push_back({revision_, key, ""});
    } else if (JsonString(write, "put", &key)) {
      Entry entry{Text(write["data"]), revision_, 0};
      JsonU64(write, "amarre", &entry.lease);
      changes_.push_back({revision_, key, entry.value});
      keys_[key] = std::move(entry);
    }
  }
  return Make(200, Revision());
}

HttpResponse StateService::HandleGrants(const HttpMessage& request) {
  constexpr std::string_view kPath = "/grants";
  if (request.target == kPath) {
    rapidjson::Document document;
    double ttl_ms = 0;
    if (!ParseJson(request.body, &document) || !deckhall::JsonNumber(document, "ttl_ms", &ttl_ms) ||
        ttl_ms < 100 || ttl_ms > 600000) {
      return Make(400, "{}");
    }
    const uint64_t id = next_lease_++;
    leases_[id] = {ttl_ms / 1000, SteadySeconds() + ttl_ms / 1000};
    return Make(200, "{\"amarre\":" + std::to_string(id) + "}");
  }
  const uint64_t id = std::stoull(request.target.substr(kPath.size() + 1));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return Make(404, Revision());
  if (request.method == "DELETE") {
    EndLease(id);
  } else {
    it->second.expires_at = SteadySeconds() + it->second.ttl_s;
  }
  return Make(200, "{}");
}

void StateService::EndLease(uint64_t lease) {
  leases_.erase(lease);
  bool changed = false;
  for (const auto& [key, entry] : keys_) changed = changed || entry.lease == lease;
  if (!changed) return;
  ++revision_;
  for (const auto& [key, entry] : keys_) {
    if (entry.lease == lease) changes_.push_back({revision_, key, ""});
  }
  std::erase_if(keys_, [lease](const auto& item) { return item.second.lease == lease; });
}

void StateService::Tick() {
  const double now = SteadySeconds();
  if (now < outage_until_) {
    for (auto& [id, lease] : leases_) lease.expires_at = outage_until_ + lease.ttl_s;
    return;
  }
  std::vector<uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (now > lease.expires_at) expired.push_back(id);
  }
  for (uint64_t id : expired) EndLease(id);
  std::vector<std::string> due;
  std::erase_if(late_, [now, &due](const LateTransaction& late) {
    if (now < late.at) return false;
    due.push_back(late.body);
    return true;
  });
  for (const std::string& body : due) Commit(body);
  std::vector<Watch> ready;
  std::erase_if(watches_, [this, now, &ready](const Watch& watch) {
    if (now < doors_[watch.door]->door.refused_until) return false;
    bool changed = false;
    for (size_t i = changes_.size(); i-- > 0 && changes_[i].revision > watch.after;) {
      changed = changed || changes_[i].key.starts_with(watch.prefix);
    }
    if (now < watch.until && !changed) return false;
    ready.push_back(watch);
    return true;
  });
  for (const Watch& watch : ready) {
    std::string events;
    for (const Change& change : changes_) {
      if (change.revision <= watch.after || !change.key.starts_with(watch.prefix)) continue;
      events += events.empty() ? "{" : ",{";
      events += change.value.empty() ? "\"remove\":\"" + change.key + "\""
                                     : "\"put\":\"" + change.key + "\",\"data\":" + change.value;
      events += ",\"huella\":" + std::to_string(change.revision) + "}";
    }
    watch.reply(
        Make(200, "{\"marea\":" + std::to_string(revision_) + ",\"events\":[" + events + "]}"));
  }
}

}  // namespace review
