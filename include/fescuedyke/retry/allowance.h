#ifndef FESCUEDYKE_RETRY_ALLOWANCE_H
#define FESCUEDYKE_RETRY_ALLOWANCE_H

/// \file
/// The retries of one root request, lent down the tree of calls and given back by answers.

namespace fescuedyke {

/// The part of a root's retries that one node holds for one call. The sum of all parts that a tree
/// holds and has spent never exceeds what its root was given.
class retry_allowance {
public:
    explicit retry_allowance(int retries) : left_(retries > 0 ? retries : 0) {}

    int left() const { return left_; }

    /// Takes one retry. Returns whether there was one.
    bool spend();

    /// Takes out the share that an attempt is lent when \p hops_below hops are expected below it:
    /// each hop gets about the same, and a last hop nothing, since it has nothing to retry.
    int lend(int hops_below);

    /// Takes back what an attempt that was lent \p lent did not use. A reply that claims more than
    /// was lent is held to what was lent.
    void return_unused(int unused, int lent);

private:
    int left_;
};

} // namespace fescuedyke

#endif
