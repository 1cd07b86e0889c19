#include "sched/capacity.h"

#include <algorithm>
#include <cmath>

namespace deckhall {
namespace {

// How many such tasks a machine takes.
double Holds(const Offer& o, const Need& n) {
  double slots = 1e9;
  if (n.cores > 0) slots = std::min(slots, std::floor(o.cores / n.cores + 1e-9));
  if (n.memory_gb > 0) slots = std::min(slots, std::floor(o.memory_gb / n.memory_gb + 1e-9));
  if (n.gpus > 0) slots = std::min(slots, std::floor(o.gpus / n.gpus + 1e-9));
  return slots;
}

// At most so much dearer does a pool count for the share of the machines it has.
constexpr double kSpread = 0.3;

int Best(const std::vector<Offer>& offers, const std::vector<int>& rented, const Need& need,
         uint32_t left) {
  int all = 1;
  for (size_t i = 0; i < offers.size(); ++i) all += offers[i].existing + rented[i];
  int best = -1;
  double best_cost = 0;
  for (size_t i = 0; i < offers.size(); ++i) {
    const Offer& o = offers[i];
    if (o.refused || !Allows(need, o.type, o.zone, o.spot)) continue;
    const double slots = Holds(o, need);
    if (slots < 1) continue;
    // Price of a task's place; places beyond those wanted are worth half.
    const double used = std::min<double>(slots, left);
    double cost = o.price / (used + 0.5 * (slots - used));
    // Pools with many machines are a bit dearer, so that zones share the risk. By
    // share, not by number: a large fleet is no reason to pay more.
    cost *= 1 + kSpread * (o.existing + rented[i]) / all;
    if (best < 0 || cost < best_cost) {
      best = static_cast<int>(i);
      best_cost = cost;
    }
  }
  return best;
}

void Take(Node* node, const Need& need) {
  node->cores -= need.cores;
  node->gpus -= need.gpus;
  node->memory_gb -= need.memory_gb;
}

// The plan as it is being made.
struct Draft {
  const std::vector<Offer>* offers;
  std::vector<Node> bins;
  std::vector<int> rented;  // by offer
  int total = 0;
  int most = 0;
};

void PackWant(const Need& need, uint32_t left, Draft* draft) {
  // Bins are used from the first that fits; a full pass per want is enough.
  for (Node& bin : draft->bins) {
    if (left == 0) break;
    if (!bin.usable || !Allows(need, bin.type, bin.zone, bin.spot)) continue;
    while (left > 0 && Fits(need, bin)) {
      Take(&bin, need);
      --left;
    }
  }
  while (left > 0 && draft->total < draft->most) {
    const int at = Best(*draft->offers, draft->rented, need, left);
    if (at < 0) break;
    const Offer& o = (*draft->offers)[static_cast<size_t>(at)];
    ++draft->rented[static_cast<size_t>(at)];
    ++draft->total;
    Node node = EmptyMachine(o);
    while (left > 0 && Fits(need, node)) {
      Take(&node, need);
      --left;
    }
    draft->bins.push_back(node);
  }
}

// The zone in which most of the tasks find room; of several, one where more can be rented.
uint32_t ZoneFor(const Need& need, uint32_t count, const Draft& draft) {
  std::vector<uint32_t> zones;
  for (const Offer& o : *draft.offers) {
    if (!o.refused && Allows(need, o.type, o.zone, o.spot) && Holds(o, need) >= 1 &&
        std::find(zones.begin(), zones.end(), o.zone) == zones.end()) {
      zones.push_back(o.zone);
    }
  }
  uint32_t best = need.zone;
  uint32_t most = 0;
  for (const uint32_t zone : zones) {
    Need there = need;
    there.zone = zone;
    uint32_t places = 0;
    for (const Node& bin : draft.bins) {
      if (places >= count) break;
      if (!bin.usable || !Allows(there, bin.type, bin.zone, bin.spot)) continue;
      for (Node left = bin; places < count && Fits(need, left); ++places) Take(&left, need);
    }
    if (best != UINT32_MAX && places <= most) continue;
    best = zone;
    most = places;
  }
  return best;
}

}  // namespace

Node EmptyMachine(const Offer& offer) {
  Node node;
  node.type = offer.type;
  node.zone = offer.zone;
  node.spot = offer.spot;
  node.usable = true;
  node.cores = offer.cores;
  node.gpus = offer.gpus;
  node.memory_gb = offer.memory_gb;
  return node;
}

std::vector<Rental> PlanRentals(const std::vector<Offer>& offers, std::vector<Node> bins,
                                const std::vector<Want>& wants, int most_machines) {
  Draft draft{&offers, std::move(bins), std::vector<int>(offers.size(), 0), 0, most_machines};
  for (const Want& want : wants) {
    Need need = want.need;
    need.siblings = nullptr;
    if (want.one_zone) need.zone = ZoneFor(need, want.count, draft);
    PackWant(need, want.count, &draft);
  }
  std::vector<Rental> out;
  for (size_t i = 0; i < offers.size(); ++i) {
    if (draft.rented[i] > 0) out.push_back({static_cast<uint32_t>(i), draft.rented[i]});
  }
  return out;
}

}  // namespace deckhall
