// Random troubles for random jobs, with all rules checked. No case: a tool to look for faults.
// explore RECORD COMMAND SEED SECONDS
#include <cstdlib>
#include <exception>
#include <iostream>

#include "world.h"

using namespace review;

namespace {

class Explorer {
 public:
  Explorer(World* world, uint64_t seed) : world_(*world), random_(seed) {}

  double Draw(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
  }
  bool Chance(double share) { return Draw(0, 1) < share; }
  void Later(double seconds, std::function<void()> action) {
    timers_.push_back(std::make_unique<Timer>(world_.loop(), std::move(action)));
    timers_.back()->Start(seconds);
  }

  void SubmitOne() {
    const int number = next_job_++;
    const char* teams[] = {"cobranza", "campo"};
    auto job = MakeJob(number, teams[random_() % 2], 1 + random_() % 6, Chance(0.5) ? 1 : 2);
    job.image = "img-" + std::to_string(random_() % 4);
    job.image_gb = Draw(0.05, 0.6);
    if (Chance(0.2)) job.priority = deckhall::Priority::kUrgent;
    if (Chance(0.2)) job.single_zone = true;
    if (!job.single_zone && Chance(0.2)) job.anti_affinity = true;
    if (!job.anti_affinity && Chance(0.15)) job.zone = Chance(0.5) ? "a" : "b";
    if (Chance(0.3)) {
      job.checkpoint_interval_s = 2;
      job.checkpoint_grace_s = 1;
    }
    if (Chance(0.12)) {
      job.service = true;
      job.task_count = 1 + random_() % 3;
      job.estimated_runtime_s = 0;
      job.priority = deckhall::Priority::kProduction;
      Later(Draw(10, 40), [this, id = job.id] { world_.Cancel(id); });
    } else if (Chance(0.25)) {
      job.gang = true;
      job.task_count = 2 + random_() % 3;
      job.cores = 1;
      job.anti_affinity = false;
      if (Chance(0.5)) job.single_zone = true;
      job.checkpoint_interval_s = job.checkpoint_grace_s = 0;
    }
    if (!job.service && Chance(0.25)) {
      Later(Draw(0.2, 12), [this, id = job.id] { world_.Cancel(id); });
    }
    jobs_.push_back(job);
    world_.Submit(job, Chance(0.4) ? Draw(0.2, 1.5) : Draw(2, 15));
  }
  void AskSome() {
    if (jobs_.empty()) return;
    const std::string& id =
        jobs_[jobs_.size() - 1 - random_() % std::min<size_t>(jobs_.size(), 20)].id;
    for (size_t node = 0; node < world_.size(); ++node) world_.Ask(id, node);
    if (Chance(0.1)) {
      for (const auto& job : jobs_) {
        if (job.id == id && !world_.rules().Told(id).empty()) Resubmit(job);
      }
    }
  }
  void Resubmit(const deckhall::JobSpec& job) { world_.Resubmit(job); }

  void Trouble() {
    auto workers = world_.fleet().workers();
    Worker* worker = workers.empty() ? nullptr : workers[random_() % workers.size()];
    const size_t node = random_() % world_.size();
    const size_t leader = world_.Leader();
    const size_t victim = leader != SIZE_MAX && Chance(0.6) ? leader : node;
    const double now = SteadySeconds();
    static const char* mode = std::getenv("MODE");
    std::vector<int> kinds;
    for (int i = 0; i < 17; ++i) kinds.push_back(i);
    if (mode != nullptr && std::string(mode) == "ways") kinds = {7, 8, 9, 10, 15, 16, 11};
    if (mode != nullptr && std::string(mode) == "terms") kinds = {0, 1, 2, 4, 5, 6, 9, 10, 15, 17};
    if (mode != nullptr && std::string(mode) == "zones") kinds = {17, 17, 2, 0, 3, 13, 15};
    const bool still = mode != nullptr && std::string(mode) == "still";
    if (still) kinds = {2, 2, 4, 5, 6, 18, 18, 7, 8};
    switch (kinds[random_() % kinds.size()]) {
      case 0:
      case 1:
        if (!world_.IsRunning(victim)) break;
        world_.Kill(victim);
        Later(Chance(0.5) ? Draw(0.05, 0.5) : Draw(1, 6), [this, victim] {
          if (!world_.IsRunning(victim)) world_.Start(victim);
        });
        break;
      case 2:
        if (!world_.IsRunning(victim)) break;
        world_.Freeze(victim);
        Later(still ? Draw(2, 22) : Draw(0.3, 9), [this, victim] {
          if (world_.IsRunning(victim)) world_.Resume(victim);
        });
        break;
      case 3:
        Note("state outage");
        if (Chance(0.5)) world_.state().SetOutageUntil(now + Draw(1, 15));
        break;
      case 4:
        Note("state refuses one");
        world_.state().door(victim).refused_until = now + Draw(1, 9);
        break;
      case 5:
        Note("late writes");
        world_.state().door(victim).late_share = 0.4;
        Later(Draw(1, 4), [this, victim] { world_.state().door(victim).late_share = 0; });
        break;
      case 6:
        Note("lost answers");
        world_.state().door(victim).lost_answer_share = 0.5;
        Later(Draw(1, 4), [this, victim] { world_.state().door(victim).lost_answer_share = 0; });
        break;
      case 7:
        if (worker == nullptr) break;
        Note("reset in " + worker->name());
        worker->inbound().Refuse(true);
        Later(Draw(0.3, 5), [worker] { worker->inbound().Refuse(false); });
        break;
      case 8:
        if (worker == nullptr) break;
        Note("hold in " + worker->name());
        (Chance(0.5) ? worker->inbound().HoldToServer(true) : worker->inbound().HoldToClient(true));
        Later(Draw(0.3, 7), [worker] {
          worker->inbound().HoldToServer(false);
          worker->inbound().HoldToClient(false);
        });
        break;
      case 9:
      case 10:
        if (worker == nullptr) break;
        Note("hold out " + worker->name());
        for (size_t i = 0; i < world_.size(); ++i) {
          if (Chance(0.5)) worker->outbound(i).HoldToServer(true);
          if (Chance(0.8)) worker->outbound(i).HoldToClient(true);
        }
        Later(Draw(0.5, 14), [this, worker] {
          for (size_t i = 0; i < world_.size(); ++i) {
            worker->outbound(i).HoldToServer(false);
            worker->outbound(i).HoldToClient(false);
          }
        });
        break;
      case 11:
        if (worker == nullptr) break;
        Note("hang " + worker->name());
        worker->Hang(now + Draw(0.5, 9));
        break;
      case 12:
        if (worker == nullptr || Chance(0.6)) break;
        worker->Die();
        break;
      case 13: {
        const size_t other = (node + 1) % world_.size();
        Note("mesh cut");
        const bool refuse = Chance(0.5);
        auto set = [this, node, other, refuse](bool on) {
          for (Proxy* way : {&world_.mesh_way(node, other), &world_.mesh_way(other, node)}) {
            if (refuse) {
              way->Refuse(on);
            } else {
              way->HoldToServer(on);
              way->HoldToClient(on);
            }
          }
        };
        set(true);
        Later(Draw(0.5, 10), [set] { set(false); });
        break;
      }
      case 14:
        Note("cloud outage");
        world_.fleet().SetCloudOutageUntil(now + Draw(1, 10));
        break;
      case 15:
        Note("late commands and reports");
        for (Worker* each : workers) each->SetLate(0.4, 0.4);
        Later(Draw(1, 6), [this] {
          for (Worker* each : world_.fleet().workers()) each->SetLate(0, 0);
        });
        break;
      case 17: {
        // A zone can't reach the others; its workers reach the controller inside, and nothing else
        // does. Or it can't reach one other zone.
        const std::string zone = std::string(1, static_cast<char>('a' + random_() % 3));
        const size_t inside = static_cast<size_t>(zone[0] - 'a');
        const size_t other = (inside + 1 + random_() % 2) % 3;
        const bool all = Chance(0.5);
        const bool from_state = all && Chance(0.7);
        Note("zone " + zone + " cut from " + (all ? "all" : std::to_string(other)));
        auto set = [this, zone, inside, other, all, from_state](bool on) {
          auto hold = [on](Proxy& way) {
            way.HoldToServer(on);
            way.HoldToClient(on);
          };
          for (size_t i = 0; i < 3; ++i) {
            if (i == inside || (!all && i != other)) continue;
            hold(world_.mesh_way(inside, i));
            hold(world_.mesh_way(i, inside));
            for (Worker* each : world_.fleet().workers()) {
              if (each->zone() == zone) hold(each->outbound(i));
              if (each->zone()[0] - 'a' == static_cast<int>(i)) hold(each->outbound(inside));
            }
          }
          if (from_state) hold(world_.state_way(inside));
          // Direct commands come from the leader; whichever it is, those into the zone are held
          // when it is outside.
          const size_t leader = world_.Leader();
          for (Worker* each : world_.fleet().workers()) {
            const bool crosses =
                leader != SIZE_MAX && (each->zone() == zone) != (leader == inside) &&
                (all || leader == other || each->zone()[0] - 'a' == static_cast<int>(other));
            if (!on || crosses) hold(each->inbound());
          }
        };
        set(true);
        Later(Draw(0.5, 20), [set] { set(false); });
        break;
      }
      case 18:
        Note("the cloud's answers are held back");
        world_.cloud_way(victim).HoldToClient(true);
        Later(Draw(4, 25), [this, victim] { world_.cloud_way(victim).HoldToClient(false); });
        break;
      case 16:
        if (worker == nullptr) break;
        Note("faulty " + worker->name());
        worker->SetFaulty(true);
        Later(Draw(1, 10), [worker] { worker->SetFaulty(false); });
        break;
    }
  }
  void Note(const std::string& text) { world_.rules().Record("trouble: " + text); }

  void Play(double seconds) {
    const double end = SteadySeconds() + seconds;
    double next_job = 0;
    double next_trouble = SteadySeconds() + 8;
    double next_ask = SteadySeconds() + 3;
    while (SteadySeconds() < end) {
      const double now = SteadySeconds();
      if (now >= next_job && end - now > 10) {
        SubmitOne();
        next_job = now + Draw(0.1, 1.2);
      }
      if (now >= next_ask) {
        AskSome();
        next_ask = now + Draw(0.1, 0.8);
      }
      if (now >= next_trouble) {
        Trouble();
        next_trouble = now + Draw(0.1, 2.5);
      }
      world_.Run(0.05);
    }
    // All troubles end.
    Note("over");
    world_.Run(16);
    for (size_t i = 0; i < world_.size(); ++i) {
      if (!world_.IsRunning(i)) world_.Start(i);
    }
    world_.Run(85);
    for (int round = 0; round < 3; ++round) {
      for (const auto& job : jobs_) {
        const std::string told = world_.rules().Told(job.id);
        if (told.empty() || told == "done" || told == "aborted") continue;
        world_.Ask(job.id);
        world_.Run(0.03);
      }
      world_.Run(3);
    }
    int waiting = 0;
    for (const auto& job : jobs_) {
      const std::string told = world_.rules().Told(job.id);
      if (told.empty() || told == "done" || told == "aborted") continue;
      if (job.service) continue;
      ++waiting;
      Note("unfinished " + job.id + " " + told);
    }
    std::cout << jobs_.size() << " jobs, " << waiting << " unfinished; terms up to "
              << world_.state().LeaderTerm() << "; transactions rejected "
              << world_.state().rejected() << ", requests throttled " << world_.state().throttled()
              << std::endl;
  }

 private:
  World& world_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::vector<deckhall::JobSpec> jobs_;
  int next_job_ = 1;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  try {
    WorldOptions options;
    options.record_path = argv[1];
    options.may_take_long = true;
    options.zones = {"a", "b", "c"};
    options.controller_zones = {"a", "b", "c"};
    options.teams = {{"cobranza", 8, 14}, {"campo", 6, 11}};
    options.fleet.types = {{"pequena", 4, 16, 0.3}, {"mediana", 8, 32, 0.58}};
    options.fleet.capacity = 8;
    options.fleet.report_s = 2;
    options.fleet.lease_s = 10;
    options.fleet.seed = std::stoull(argv[3]);
    options.cancel_s = 22;
    const uint64_t variant = std::stoull(argv[3]) % 3;
    if (variant == 1) {
      options.state_value_kb = 8;
      options.next_state = {150, 25, 4, 8};
    } else if (variant == 2) {
      // Limits that nobody announced, on some days.
      options.state_rps = 100;
      options.state_write_rps = 30;
      options.state_value_kb = 4;
      options.state_txn_ops = 12;
    }
    World world(options, argv[2]);
    Explorer explorer(&world, std::stoull(argv[3]));
    for (const char* zone : {"a", "b", "c"}) {
      world.fleet().AddMachine("pequena", zone);
      world.fleet().AddMachine("mediana", zone);
    }
    world.StartAll();
    world.Run(3);
    Timer lower(world.loop(), [&] {
      if (variant == 1) world.state().SetLimits(options.next_state);
    });
    lower.Start(30);
    explorer.Play(std::stod(argv[4]));
    world.UnexpectedEnds();
    return Verdict(world, {"ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten",
                           "invented", "not_done", "went_back"});
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
