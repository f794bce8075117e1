#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

// A request that waits in a cell's queue.
struct QueuedRequest {
    PlacementRequest request;
    std::size_t promptClass { 0 };
    double work { 0 }; // Prompt tokens that are expected to need prefill.
    TimePoint arrival {};
    TimePoint
        due {}; // The queue's order: arrival plus a multiple of the predicted cost, or the latest start if earlier.
    TimePoint latestStart {}; // After it the request would miss its deadline.
    std::uint64_t sequence { 0 };
};

// Waiting requests of one prompt class. Serves workspaces by start-time fair queueing over the tokens granted to them,
// and a workspace's own requests in order of `due`. Every operation takes time logarithmic in the number of requests.
// Does not own the requests.
class FairQueue {
public:
    void insert(QueuedRequest& entry);
    void remove(QueuedRequest& entry);

    // Charges the work of a waiting entry to its workspace, before the entry is served and removed.
    void charge(const QueuedRequest& entry);

    // Returns the first requests of up to `limit` workspaces, least served workspace first.
    std::vector<QueuedRequest*> heads(std::size_t limit) const;

    // Returns the last request of the workspace with the most work waiting relative to its weight; null if empty.
    QueuedRequest* mostOverShare() const;

    // Whether a workspace's waiting work is above an equal share, by weight, of all waiting work.
    bool isOverShare(const std::string& workspace) const;

    // Returns the work, in tokens, that is served before a new request of the workspace.
    double workAhead(const std::string& workspace, double weight) const;

    double work() const;
    std::size_t size() const;

private:
    struct Order {
        bool operator()(const QueuedRequest* left, const QueuedRequest* right) const
        {
            return std::tie(left->due, left->sequence) < std::tie(right->due, right->sequence);
        }
    };
    struct Workspace {
        std::string name;
        double weight { 1 };
        double served { 0 }; // Virtual time: tokens granted, divided by the weight.
        double work { 0 };
        std::set<QueuedRequest*, Order> entries;
    };
    struct ByValueThenName {
        using Key = std::pair<double, Workspace*>;

        bool operator()(const Key& left, const Key& right) const
        {
            return std::tie(left.first, left.second->name) < std::tie(right.first, right.second->name);
        }
    };
    using WorkspaceIndex = std::set<std::pair<double, Workspace*>, ByValueThenName>;

    Workspace& workspaceOf(const PlacementRequest& request);
    void unindex(Workspace& workspace);
    void index(Workspace& workspace);
    void forgetIdle();

    std::map<std::string, Workspace, std::less<>> workspaces;
    WorkspaceIndex byServed; // Workspaces with waiting requests.
    WorkspaceIndex byWork; // The same, by work over weight.
    WorkspaceIndex idle; // Workspaces without, by `served`.
    double virtualTime { 0 };
    double totalWork { 0 };
    double activeWeight { 0 };
    std::size_t count { 0 };
};

}
