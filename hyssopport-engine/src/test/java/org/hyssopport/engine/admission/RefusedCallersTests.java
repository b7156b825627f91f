package org.hyssopport.engine.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.job.JobId;
import org.junit.jupiter.api.Test;

class RefusedCallersTests {

  private static final Instant NOW = Instant.parse("2026-12-04T06:00:00Z");
  private static final JobId ID = new JobId("0123456789abcdef");

  private final RefusedCallers callers = RefusedCallers.none();

  @Test
  void remembersTheFirstOfSeveralRefusals() {
    callers.add(ID, NOW);
    callers.add(ID, NOW.plusSeconds(1));
    assertEquals(Optional.of(NOW), callers.firstAskedAt(ID, NOW.plusSeconds(2)));
  }

  @Test
  void forgetsCallersThatDoNotReturn() {
    callers.add(ID, NOW);
    assertEquals(Optional.empty(), callers.firstAskedAt(ID, NOW.plusSeconds(10)));
    callers.add(new JobId("0123456789abcde0"), NOW.plusSeconds(10));
    assertTrue(!callers.remove(ID), "still remembered");
  }
}
