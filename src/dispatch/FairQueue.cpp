#include "dispatch/FairQueue.h"

#include <algorithm>
#include <ranges>

namespace marigoldpaddle {

namespace {

constexpr double OverShareFactor = 1.5; // Queued work relative to the workspace's weighted share.

}

void FairQueue::insert(QueuedRequest& entry)
{
    auto& workspace = this->workspaceOf(entry.request);
    this->unindex(workspace);
    if (workspace.entries.empty())
        workspace.served = std::max(workspace.served, this->virtualTime);
    workspace.entries.insert(&entry);
    workspace.work += entry.work;
    this->totalWork += entry.work;
    ++this->count;
    this->index(workspace);
}

void FairQueue::remove(QueuedRequest& entry)
{
    auto& workspace = this->workspaceOf(entry.request);
    this->unindex(workspace);
    workspace.entries.erase(&entry);
    workspace.work = workspace.entries.empty() ? 0 : workspace.work - entry.work;
    --this->count;
    this->totalWork = this->count == 0 ? 0 : this->totalWork - entry.work;
    this->index(workspace);
    this->eraseIdleWorkspaces();
}

void FairQueue::charge(const QueuedRequest& entry)
{
    auto& workspace = this->workspaceOf(entry.request);
    this->unindex(workspace);
    this->virtualTime = std::max(this->virtualTime, workspace.served);
    workspace.served += entry.work / workspace.weight;
    this->index(workspace);
}

std::vector<QueuedRequest*> FairQueue::heads(std::size_t limit) const
{
    std::vector<QueuedRequest*> result;
    for (const auto& [served, workspace] : this->byServed | std::views::take(limit))
        result.push_back(*workspace->entries.begin());
    return result;
}

QueuedRequest* FairQueue::mostOverShare() const
{
    return this->byWork.empty() ? nullptr : *this->byWork.rbegin()->second->entries.rbegin();
}

bool FairQueue::isOverShare(const std::string& workspace) const
{
    auto found = this->workspaces.find(workspace);
    if (found == this->workspaces.end() || this->byServed.size() < 2)
        return false;
    return found->second.work / found->second.weight > OverShareFactor * this->totalWork / this->activeWeight;
}

double FairQueue::workAhead(const std::string& workspace, double weight) const
{
    auto found = this->workspaces.find(workspace);
    auto own = found == this->workspaces.end() ? 0 : found->second.work;
    auto isActive = found != this->workspaces.end() && !found->second.entries.empty();
    auto weights = this->activeWeight + (isActive ? 0 : weight);
    return std::min(this->totalWork, own * weights / weight);
}

double FairQueue::work() const
{
    return this->totalWork;
}

std::size_t FairQueue::size() const
{
    return this->count;
}

FairQueue::Workspace& FairQueue::workspaceOf(const PlacementRequest& request)
{
    auto [found, isNew] = this->workspaces.try_emplace(request.workspace);
    if (isNew) {
        found->second.name = request.workspace;
        found->second.weight = request.workspaceWeight > 0 ? request.workspaceWeight : 1;
        this->index(found->second);
    }
    return found->second;
}

void FairQueue::unindex(Workspace& workspace)
{
    if (workspace.entries.empty()) {
        this->idle.erase({ workspace.served, &workspace });
        return;
    }
    this->byServed.erase({ workspace.served, &workspace });
    this->byWork.erase({ workspace.work / workspace.weight, &workspace });
    this->activeWeight = this->byServed.empty() ? 0 : this->activeWeight - workspace.weight;
}

void FairQueue::index(Workspace& workspace)
{
    if (workspace.entries.empty()) {
        this->idle.emplace(workspace.served, &workspace);
        return;
    }
    this->byServed.emplace(workspace.served, &workspace);
    this->byWork.emplace(workspace.work / workspace.weight, &workspace);
    this->activeWeight += workspace.weight;
}

// Erases idle workspaces whose virtual time is not ahead of the queue's: they would restart at the queue's virtual time
// in any case, so their state is not needed.
void FairQueue::eraseIdleWorkspaces()
{
    while (!this->idle.empty() && this->idle.begin()->first <= this->virtualTime) {
        auto* workspace = this->idle.begin()->second;
        this->idle.erase(this->idle.begin());
        this->workspaces.erase(workspace->name);
    }
}

}
