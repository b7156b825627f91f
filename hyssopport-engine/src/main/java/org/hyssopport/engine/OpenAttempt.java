package org.hyssopport.engine;

import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.work.Placement;
import org.hyssopport.engine.work.ProjectedJob;

/**
 * An attempt that the log says is open.
 *
 * @param stream the index of the job's stream
 * @param job the job
 * @param task the task's index
 * @param attempt the attempt's number
 */
record OpenAttempt(int stream, ProjectedJob job, int task, int attempt) {

  AttemptId id() {
    return idOf(job.spec().id(), task, attempt);
  }

  static AttemptId idOf(String job, int task, int attempt) {
    return new AttemptId(job + "/" + task, attempt);
  }

  Placement placement() {
    return job.task(task).placement().orElseThrow();
  }
}
