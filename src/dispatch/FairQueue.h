#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

// A request in a cell's queue.
struct QueuedRequest {
    PlacementRequest request;
    std::size_t promptClass { 0 }; // Index of the class; 0 holds the shortest prompts.
    double work { 0 }; // Prompt tokens to prefill.
    TimePoint arrival {};
    // Sort key within a workspace: arrival plus a multiple of the predicted prefill time, or `latestStart` if earlier.
    TimePoint orderKey {};
    TimePoint latestStart {}; // A request granted after this time is predicted to miss its deadline.
    std::uint64_t sequence { 0 }; // Order of arrival; breaks ties.
};

// The queued requests of one prompt class. Selects workspaces by start-time fair queueing over the tokens granted to
// them, and requests within a workspace by ascending `orderKey`. Every operation takes time logarithmic in the number
// of requests. Does not own the requests.
class FairQueue {
public:
    void insert(QueuedRequest& entry);
    void remove(QueuedRequest& entry);

    // Charges the work of a queued entry to its workspace. Must be called before a granted entry is removed.
    void charge(const QueuedRequest& entry);

    // Returns the first request of each of up to `limit` workspaces, least served workspace first.
    std::vector<QueuedRequest*> heads(std::size_t limit) const;

    // Returns the last request of the workspace with the most queued work relative to its weight; null if the queue is
    // empty.
    QueuedRequest* mostOverShare() const;

    // Returns whether a workspace's queued work exceeds its weighted share of all queued work by more than half.
    bool isOverShare(const std::string& workspace) const;

    // Returns how much queued work, in tokens, is served before a new request of the workspace.
    double workAhead(const std::string& workspace, double weight) const;

    // Returns the total queued work in tokens.
    double work() const;
    std::size_t size() const;

private:
    struct Order {
        bool operator()(const QueuedRequest* left, const QueuedRequest* right) const
        {
            return std::tie(left->orderKey, left->sequence) < std::tie(right->orderKey, right->sequence);
        }
    };
    struct Workspace {
        std::string name;
        double weight { 1 };
        double served { 0 }; // Virtual time: granted tokens divided by the weight.
        double work { 0 }; // Queued tokens.
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
    void eraseIdleWorkspaces();

    std::map<std::string, Workspace, std::less<>> workspaces;
    WorkspaceIndex byServed; // Workspaces with queued requests, by `served`.
    WorkspaceIndex byWork; // Workspaces with queued requests, by work divided by weight.
    WorkspaceIndex idle; // Workspaces without queued requests, by `served`.
    double virtualTime { 0 }; // The highest `served` of a workspace at the time of a grant to it.
    double totalWork { 0 };
    double activeWeight { 0 }; // Sum of the weights of workspaces with queued requests.
    std::size_t count { 0 };
};

}
