package org.hyssopport.launcher.cell;

/**
 * The member that leads a term.
 *
 * @param address the member's address
 * @param term the term
 */
record SchedulerSeat(String address, long term) {

  @Override
  public String toString() {
    return address + " term " + term;
  }
}
