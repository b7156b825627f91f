package org.hyssopport.engine.admission;

import java.time.Duration;
import java.time.Instant;
import org.hyssopport.engine.admission.AdmissionDecision.Outcome;
import org.hyssopport.engine.job.JobId;

/**
 * Decides whether a job can still be of use, for load that exceeds the room, or what one
 * organisation may have running, for so long that new jobs would wait in vain.
 *
 * <p>A late result is of use up to three times the allowed time, and is placed after what can be in
 * time, so it costs the others little: refusing it would be a loss to its caller and no gain to
 * anybody. A job is therefore refused only if it can't be of use even if everything goes well, that
 * is if no task fails, no room is lost between tasks and nothing more urgent arrives.
 *
 * <p>Performs no input or output and reads no clock.
 *
 * @since 0.3
 */
public final class AdmissionControl {

  /** A result is useful to the caller up to this multiple of the time that the job is allowed. */
  private static final int USELESS_AFTER_MULTIPLE = 3;

  /** The resolution of Retry-After. */
  private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);

  /** A person or a program that was told more than this will have turned to something else. */
  private static final Duration LONGEST_RETRY = Duration.ofSeconds(30);

  private AdmissionControl() {}

  /**
   * Decides whether a job is admitted.
   *
   * @param request the job and the load that it meets
   * @param now the reading of the local monotonic clock
   * @return the decision
   */
  public static AdmissionDecision decide(AdmissionRequest request, Instant now) {
    Backlog all = Backlog.of(request.workAhead(), request.workPerSecond());
    AdmissionDecision byRoom = decide(request, Outcome.NO_ROOM_IN_TIME, all, now);
    if (byRoom.isRefusal()) {
      return byRoom;
    }
    return request
        .own()
        .map(own -> Backlog.of(own.workAhead(), own.workPerSecond()))
        .map(backlog -> decide(request, Outcome.LIMIT_REACHED, backlog, now))
        .filter(AdmissionDecision::isRefusal)
        .orElse(byRoom);
  }

  /** Work that comes before a job, and how much of it can be started in a second. */
  private record Backlog(double work, double workPerSecond) {

    static Backlog of(double work, double workPerSecond) {
      return new Backlog(work, workPerSecond);
    }

    /** Without workers nothing is known of when there will be some, so nothing is held up. */
    Duration delay() {
      return Duration.ofMillis(workPerSecond <= 0 ? 0 : (long) (work / workPerSecond * 1000));
    }
  }

  private static AdmissionDecision decide(
      AdmissionRequest request, Outcome refusal, Backlog backlog, Instant now) {
    Instant limit = request.askedAt().plus(request.allowed().multipliedBy(USELESS_AFTER_MULTIPLE));
    Instant earliestEnd = now.plus(backlog.delay()).plus(request.chain());
    boolean refused = !backlog.delay().isZero() && earliestEnd.isAfter(limit);
    return new AdmissionDecision(
        refused ? refusal : Outcome.ADMITTED,
        backlog.work(),
        backlog.workPerSecond(),
        earliestEnd,
        limit,
        refused ? spread(Duration.between(limit, earliestEnd), request.job()) : Duration.ZERO);
  }

  /**
   * Returns when a caller may come back: once the backlog has shrunk far enough, or up to half as
   * much later, by the id of its job, so that not all callers come back at one time.
   */
  private static Duration spread(Duration untilRoom, JobId job) {
    Duration least = untilRoom.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : untilRoom;
    Duration retryAfter = least.plus(least.multipliedBy(thousandthsOf(job)).dividedBy(2000));
    return retryAfter.compareTo(LONGEST_RETRY) < 0 ? retryAfter : LONGEST_RETRY;
  }

  private static int thousandthsOf(JobId job) {
    return Math.floorMod((job.text().hashCode() * 0x9E3779B9) >>> 8, 1000);
  }
}
