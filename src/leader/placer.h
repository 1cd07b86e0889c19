// Decides what runs where.
#pragma once

#include <unordered_map>
#include <vector>

#include "leader/ranking.h"
#include "leader/rooms.h"

namespace deckhall {

class Placer {
 public:
  Placer(JobBook* book, Fleet* fleet, Rooms* rooms, Ranking* ranking, Rentals* rentals,
         const Clock* clock, const Tuning* tuning);

  // Gives free room to waiting tasks.
  void Pass();

 private:
  // A need for which this pass found no place: neither will it for a larger one.
  struct Vain {
    double cores;
    double memory_gb;
    double gpus;
    uint32_t zone;
    bool spot_ok;
    const std::vector<char>* types;
  };
  struct Claim {
    double cores = 0;
    double gpus = 0;
    double memory_gb = 0;
  };

  // Places up to `most` waiting tasks; `here`: only where the image is already.
  void PlaceSome(JobIdx j, bool here, size_t most);
  void PlaceService(JobIdx j);
  void PlaceGang(JobIdx j);
  void HoldFor(const Need& need, uint32_t tasks);
  // Makes room for up to `most` tasks; returns for how many it is on its way.
  size_t Preempt(JobIdx j, bool here, size_t most);
  // Seconds to fetch its image, on the slowest type.
  double FetchSeconds(const Job& job) const;
  double Patience(const Job& job) const;
  double Reserve(const Job& job) const;
  bool InVain(const Need& need) const;
  void Put(JobIdx j, uint32_t node, uint64_t attempt);
  // What stopping tasks on the machine for the job would lose, in core-seconds; the
  // slots in `chosen`. Negative: no room can be made.
  double Loss(const Job& job, const Machine& m, Node* node, std::vector<size_t>* chosen) const;

  JobBook* book_;
  Fleet* fleet_;
  Rooms* rooms_;
  Ranking* ranking_;
  Rentals* rentals_;
  const Clock* clock_;
  const Tuning* tuning_;
  std::vector<uint32_t> open_;
  std::vector<Vain> vain_;
  std::unordered_map<MachIdx, Claim> claims_;  // room on its way that is spoken for
  int preempting_ = 0;                         // jobs this pass looked for tasks to stop for
  bool contended_ = false;                     // more tasks wait than there is room
};

}  // namespace deckhall
