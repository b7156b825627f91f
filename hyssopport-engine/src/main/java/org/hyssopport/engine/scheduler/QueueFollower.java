package org.hyssopport.engine.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.QueuePolicy;

/**
 * Makes the jobs that have not ended follow the policies of their queues in the configuration in
 * force. What runs goes on where it runs; tasks that wait or start again do so by the new policy.
 */
final class QueueFollower {

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final RunManager runManager;
  private final PlacementManager placement;

  QueueFollower(
      SchedulerContext context,
      JobRegistry jobs,
      RunManager runManager,
      PlacementManager placement) {
    this.context = context;
    this.jobs = jobs;
    this.runManager = runManager;
    this.placement = placement;
  }

  /** Applies the configuration in force. */
  void apply() {
    Map<String, List<Job>> movedByQueue = new HashMap<>();
    for (Job job : List.copyOf(jobs.active())) {
      QueuePolicy before = job.queue();
      job.followQueue(context.queueInForce(before));
      if (!job.queue().service().equals(before.service())) {
        movedByQueue.computeIfAbsent(before.name(), each -> new ArrayList<>()).add(job);
      }
      if (job.queue().attempts() < before.attempts()) {
        // A step may have used up its attempts by the new policy.
        runManager.updateAndStoreJob(job);
      }
    }
    movedByQueue.forEach(this::onQueueMoved);
  }

  private void onQueueMoved(String queue, List<Job> movedJobs) {
    placement.onQueueMoved(queue, movedJobs);
    QueuePolicy inForce = movedJobs.get(0).queue();
    context.logDecision(
        "queue moved",
        queue,
        Map.of(
            "service", inForce.service(),
            "version", inForce.configurationVersion(),
            "jobs", movedJobs.size()));
  }
}
