package org.hyssopport.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.work.ProjectedJob;
import org.hyssopport.engine.work.StreamRecord.TaskClaim;
import org.hyssopport.engine.work.StreamRecord.TasksClaimed;
import org.hyssopport.engine.work.TaskStatus;
import org.hyssopport.policy.Resources;

/**
 * Indexes the open attempts by id and by worker, and sums the resources that they use by team.
 *
 * <p>It is updated together with the projections of the streams.
 */
final class OpenAttemptIndex {

  private final FollowedStreams streams;
  private final Map<AttemptId, OpenAttempt> byId = new LinkedHashMap<>();
  private final Map<AttemptId, WorkerId> workerByAttempt = new HashMap<>();
  private final Map<WorkerId, Map<AttemptId, OpenAttempt>> byWorker = new HashMap<>();
  private final Map<String, Resources> usedByTeam = new HashMap<>();

  OpenAttemptIndex(FollowedStreams streams) {
    this.streams = streams;
  }

  Collection<OpenAttempt> all() {
    return byId.values();
  }

  Optional<OpenAttempt> find(AttemptId id) {
    return Optional.ofNullable(byId.get(id));
  }

  List<OpenAttempt> attemptsOn(WorkerId worker) {
    return new ArrayList<>(byWorker.getOrDefault(worker, Map.of()).values());
  }

  Resources usedBy(String team) {
    return usedByTeam.getOrDefault(team, Resources.NONE);
  }

  /** Adds the attempts that a valid claim opened. */
  void addClaimed(TasksClaimed claim) {
    int stream = streams.homeStream(claim.job());
    ProjectedJob job = streams.projection(stream).job(claim.job()).orElseThrow();
    for (TaskClaim taskClaim : claim.claims()) {
      if (job.isOpen(taskClaim.task(), taskClaim.attempt())) {
        add(new OpenAttempt(stream, job, taskClaim.task(), taskClaim.attempt()));
      }
    }
  }

  private void add(OpenAttempt attempt) {
    WorkerId workerId = attempt.placement().worker();
    byId.put(attempt.id(), attempt);
    workerByAttempt.put(attempt.id(), workerId);
    byWorker.computeIfAbsent(workerId, worker -> new LinkedHashMap<>()).put(attempt.id(), attempt);
    usedByTeam.merge(
        attempt.job().spec().team(), attempt.job().spec().resources(), Resources::plus);
  }

  void remove(AttemptId id) {
    OpenAttempt attempt = byId.remove(id);
    if (attempt == null) {
      return;
    }
    Map<AttemptId, OpenAttempt> onWorker = byWorker.get(workerByAttempt.remove(id));
    onWorker.remove(id);
    usedByTeam.merge(
        attempt.job().spec().team(), attempt.job().spec().resources(), Resources::minus);
  }

  /** Replaces the open attempts of one stream after its projection was restored. */
  void rebuild(int stream) {
    List<AttemptId> previous =
        byId.values().stream()
            .filter(attempt -> attempt.stream() == stream)
            .map(OpenAttempt::id)
            .toList();
    previous.forEach(this::remove);
    for (ProjectedJob job : streams.projection(stream).unfinishedJobs()) {
      for (int task = 0; task < job.taskCount(); task++) {
        if (job.task(task).phase() == TaskStatus.Phase.OPEN) {
          add(new OpenAttempt(stream, job, task, job.task(task).attempt()));
        }
      }
    }
  }
}
