#include "costreport.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace cranberryspool::fleetcost {

namespace {

struct Column {
  const char *Name_;
  double CostSample::*Value_;
};

constexpr std::array<Column, 10> Columns = {{
    {"messages", &CostSample::Messages_},
    {"peer-bytes", &CostSample::PeerBytes_},
    {"largest-peer-bytes", &CostSample::LargestPeerBytes_},
    {"bulk-bytes", &CostSample::BulkBytes_},
    {"platform-bytes", &CostSample::PlatformBytes_},
    {"platform-calls", &CostSample::PlatformCalls_},
    {"largest-bytes", &CostSample::LargestBytes_},
    {"busy-us", &CostSample::BusyMicroseconds_},
    {"memory-bytes", &CostSample::MemoryBytes_},
    {"document-bytes", &CostSample::DocumentBytes_},
}};

using Row = std::array<double, 4>;

/// Solves three linear equations by Gaussian elimination with pivots.
std::array<double, 3> solve(std::array<Row, 3> Rows) {
  for (std::size_t Step = 0; Step < 3; ++Step) {
    std::size_t Pivot = Step;
    for (std::size_t Other = Step + 1; Other < 3; ++Other)
      if (std::abs(Rows[Other][Step]) > std::abs(Rows[Pivot][Step]))
        Pivot = Other;
    std::swap(Rows[Step], Rows[Pivot]);
    for (std::size_t Other = 0; Other < 3; ++Other) {
      if (Other == Step || Rows[Step][Step] == 0)
        continue;
      const double Factor = Rows[Other][Step] / Rows[Step][Step];
      for (std::size_t Place = Step; Place < 4; ++Place)
        Rows[Other][Place] -= Factor * Rows[Step][Place];
    }
  }
  return {Rows[0][3] / Rows[0][0], Rows[1][3] / Rows[1][1],
          Rows[2][3] / Rows[2][2]};
}

std::array<double, 3> fitPlane(const std::vector<CostSample> &Samples,
                               double CostSample::*Value) {
  std::array<Row, 3> Sums{};
  for (const CostSample &Sample : Samples) {
    const std::array<double, 3> Factors = {
        1, static_cast<double>(Sample.Instances_),
        static_cast<double>(Sample.Targets_)};
    for (std::size_t Line = 0; Line < 3; ++Line) {
      for (std::size_t Place = 0; Place < 3; ++Place)
        Sums[Line][Place] += Factors[Line] * Factors[Place];
      Sums[Line][3] += Factors[Line] * (Sample.*Value);
    }
  }
  return solve(Sums);
}

double largestError(const std::vector<CostSample> &Samples,
                    double CostSample::*Value,
                    const std::array<double, 3> &Plane) {
  double Largest = 0;
  for (const CostSample &Sample : Samples) {
    const double Fitted = Plane[0] +
                          Plane[1] * static_cast<double>(Sample.Instances_) +
                          Plane[2] * static_cast<double>(Sample.Targets_);
    Largest = std::max(Largest, std::abs(Fitted - Sample.*Value));
  }
  return Largest;
}

} // namespace

std::string costTable(const std::vector<CostSample> &Samples,
                      const KeyCost &Keys) {
  std::string Text = "instances targets";
  for (const Column &Item : Columns)
    Text += std::string("  ") + Item.Name_;
  Text += "\n";
  for (const CostSample &Sample : Samples) {
    char Cell[64];
    std::snprintf(Cell, sizeof(Cell), "%9zu %7zu", Sample.Instances_,
                  Sample.Targets_);
    Text += Cell;
    for (const Column &Item : Columns) {
      const int Width = static_cast<int>(std::string(Item.Name_).size()) + 2;
      std::snprintf(Cell, sizeof(Cell), "%*.1f", Width, Sample.*(Item.Value_));
      Text += Cell;
    }
    Text += "\n";
  }
  char Line[96];
  std::snprintf(Line, sizeof(Line),
                "bytes a keyed call %.0f, bytes a key record %.0f\n",
                Keys.BytesPerCall_, Keys.BytesPerRecord_);
  return Text + Line;
}

std::string costJson(const std::vector<CostSample> &Samples,
                     const KeyCost &Keys) {
  boost::json::array Rows;
  for (const CostSample &Sample : Samples) {
    boost::json::object Entry;
    Entry["instances"] = Sample.Instances_;
    Entry["targets"] = Sample.Targets_;
    for (const Column &Item : Columns)
      Entry[Item.Name_] = Sample.*(Item.Value_);
    Rows.push_back(Entry);
  }
  boost::json::object Fits;
  boost::json::object Errors;
  for (const Column &Item : Columns) {
    const auto Plane = fitPlane(Samples, Item.Value_);
    Fits[Item.Name_] = boost::json::object{{"base", Plane[0]},
                                           {"per-instance", Plane[1]},
                                           {"per-target", Plane[2]}};
    Errors[Item.Name_] = largestError(Samples, Item.Value_, Plane);
  }
  return boost::json::serialize(
      boost::json::object{{"samples", Rows},
                          {"slopes", Fits},
                          {"fit-error", Errors},
                          {"bytes-per-keyed-call", Keys.BytesPerCall_},
                          {"bytes-per-key-record", Keys.BytesPerRecord_}});
}

} // namespace cranberryspool::fleetcost
