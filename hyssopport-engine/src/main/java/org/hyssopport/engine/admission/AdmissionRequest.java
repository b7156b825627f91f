package org.hyssopport.engine.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.job.JobId;

/**
 * A job whose admission is to be decided, with the load that it meets. Work is the declared work of
 * ready tasks, in processor-seconds.
 *
 * @param job the id of the job
 * @param askedAt when its caller first asked for it, by the local monotonic clock
 * @param allowed the time that it may take to meet its objective
 * @param chain the declared run time of its longest chain of steps
 * @param workAhead the work that waits and is placed before it, of all organisations
 * @param workPerSecond the most work that can be started in a second
 * @param own the load of its organisation; empty if it has none, or one without a limit
 * @since 0.3
 */
public record AdmissionRequest(
    JobId job,
    Instant askedAt,
    Duration allowed,
    Duration chain,
    double workAhead,
    double workPerSecond,
    Optional<OrganisationLoad> own) {

  /**
   * The load of the job's organisation, if what it may have running is limited.
   *
   * @param workAhead its work that waits and is placed before the job
   * @param workPerSecond the most work of it that can be started in a second
   */
  public record OrganisationLoad(double workAhead, double workPerSecond) {}
}
