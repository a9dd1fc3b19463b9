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
    {"largest-peer-bytes", &CostSample::MaxPeerBytes_},
    {"bulk-bytes", &CostSample::BulkBytes_},
    {"platform-bytes", &CostSample::PlatformBytes_},
    {"platform-calls", &CostSample::PlatformCalls_},
    {"largest-bytes", &CostSample::MaxBytes_},
    {"busy-us", &CostSample::CpuMicroseconds_},
    {"memory-bytes", &CostSample::MemoryBytes_},
    {"document-bytes", &CostSample::DocumentBytes_},
}};

using Row = std::array<double, 4>;

/// Solves three linear equations by Gaussian elimination with partial pivoting.
std::array<double, 3> solve(std::array<Row, 3> Rows) {
  for (std::size_t PivotIndex = 0; PivotIndex < 3; ++PivotIndex) {
    std::size_t PivotRow = PivotIndex;
    for (std::size_t RowIndex = PivotIndex + 1; RowIndex < 3; ++RowIndex)
      if (std::abs(Rows[RowIndex][PivotIndex]) >
          std::abs(Rows[PivotRow][PivotIndex]))
        PivotRow = RowIndex;
    std::swap(Rows[PivotIndex], Rows[PivotRow]);
    for (std::size_t RowIndex = 0; RowIndex < 3; ++RowIndex) {
      if (RowIndex == PivotIndex || Rows[PivotIndex][PivotIndex] == 0)
        continue;
      const double Factor =
          Rows[RowIndex][PivotIndex] / Rows[PivotIndex][PivotIndex];
      for (std::size_t ColumnIndex = PivotIndex; ColumnIndex < 4; ++ColumnIndex)
        Rows[RowIndex][ColumnIndex] -= Factor * Rows[PivotIndex][ColumnIndex];
    }
  }
  return {Rows[0][3] / Rows[0][0], Rows[1][3] / Rows[1][1],
          Rows[2][3] / Rows[2][2]};
}

std::array<double, 3> fitPlane(const std::vector<CostSample> &Samples,
                               double CostSample::*Value) {
  std::array<Row, 3> NormalEquations{};
  for (const CostSample &Sample : Samples) {
    const std::array<double, 3> Regressors = {
        1, static_cast<double>(Sample.Instances_),
        static_cast<double>(Sample.Targets_)};
    for (std::size_t RowIndex = 0; RowIndex < 3; ++RowIndex) {
      for (std::size_t ColumnIndex = 0; ColumnIndex < 3; ++ColumnIndex)
        NormalEquations[RowIndex][ColumnIndex] +=
            Regressors[RowIndex] * Regressors[ColumnIndex];
      NormalEquations[RowIndex][3] += Regressors[RowIndex] * (Sample.*Value);
    }
  }
  return solve(NormalEquations);
}

double maxFitError(const std::vector<CostSample> &Samples,
                   double CostSample::*Value,
                   const std::array<double, 3> &Plane) {
  double MaxError = 0;
  for (const CostSample &Sample : Samples) {
    const double FittedValue =
        Plane[0] + Plane[1] * static_cast<double>(Sample.Instances_) +
        Plane[2] * static_cast<double>(Sample.Targets_);
    MaxError = std::max(MaxError, std::abs(FittedValue - Sample.*Value));
  }
  return MaxError;
}

} // namespace

std::string formatCostTable(const std::vector<CostSample> &Samples,
                            const KeyCost &KeyCosts) {
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
  char KeyLine[96];
  std::snprintf(KeyLine, sizeof(KeyLine),
                "bytes a keyed call %.0f, bytes a key record %.0f\n",
                KeyCosts.BytesPerCall_, KeyCosts.BytesPerRecord_);
  return Text + KeyLine;
}

std::string formatCostJson(const std::vector<CostSample> &Samples,
                           const KeyCost &KeyCosts) {
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
    Errors[Item.Name_] = maxFitError(Samples, Item.Value_, Plane);
  }
  return boost::json::serialize(
      boost::json::object{{"samples", Rows},
                          {"slopes", Fits},
                          {"fit-error", Errors},
                          {"bytes-per-keyed-call", KeyCosts.BytesPerCall_},
                          {"bytes-per-key-record", KeyCosts.BytesPerRecord_}});
}

} // namespace cranberryspool::fleetcost
