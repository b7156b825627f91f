package org.hyssopport.engine;

import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.work.Placement;
import org.hyssopport.engine.work.ProjectedJob;

/**
 * An attempt that is open according to the log.
 *
 * @param stream the index of the job's stream
 * @param job the job
 * @param task the index of the task in the job
 * @param attempt the number of the attempt
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
