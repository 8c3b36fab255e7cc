#pragma once

#include "Model/Runs.h"

namespace trefoilwing {

/// Receives the results of orders. Its methods are called on the gateway's thread, once for each order.
class MinionAnswers {
public:
    virtual ~MinionAnswers() = default;

    virtual void answered(const CellId&, const StartResult&) = 0;
    virtual void answered(const CellId&, const StopResult&) = 0;
    virtual void answered(const CellId&, const RenewResult&) = 0;
};

/// Sends orders to minions. Calls don't block.
class MinionOrders {
public:
    virtual ~MinionOrders() = default;

    virtual void send(const CellId&, const StartOrder&) = 0;
    virtual void send(const CellId&, const StopOrder&) = 0;
    virtual void send(const CellId&, const RenewOrder&) = 0;
};

} // namespace trefoilwing
