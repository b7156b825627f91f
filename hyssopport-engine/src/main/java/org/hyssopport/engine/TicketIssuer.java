package org.hyssopport.engine;

import java.time.Instant;
import java.util.BitSet;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hyssopport.engine.platform.EntryId;

/**
 * Issues this incarnation's tickets, under each of which a request runs at most once, and records
 * which ones were used.
 */
final class TicketIssuer {

  private static final Pattern FORMAT = Pattern.compile("(.+@[^-@]+)-t(\\d{1,9})-(\\d{1,15})");

  private final EngineContext context;
  private final BitSet used = new BitSet();
  private int lastNumber;

  TicketIssuer(EngineContext context) {
    this.context = context;
  }

  Answer.TicketAnswer issue() {
    lastNumber++;
    Instant expiry = context.now().plus(context.settings().ticketLength());
    String text = context.self() + "-t" + lastNumber + "-" + expiry.toEpochMilli();
    return new Answer.TicketAnswer(text, expiry);
  }

  static Optional<Ticket> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    EntryId issuer = EntryId.parse(matcher.group(1));
    int number = Integer.parseInt(matcher.group(2));
    Instant expiry = Instant.ofEpochMilli(Long.parseLong(matcher.group(3)));
    return Optional.of(new Ticket(issuer, number, expiry));
  }

  boolean wasIssued(Ticket ticket) {
    return ticket.number() >= 1 && ticket.number() <= lastNumber;
  }

  boolean wasUsed(Ticket ticket) {
    return used.get(ticket.number());
  }

  void markUsed(Ticket ticket) {
    used.set(ticket.number());
  }

  /**
   * The parts of a ticket.
   *
   * @param issuer the incarnation that issued it
   * @param number the number of the ticket at its issuer, from 1
   * @param expiry when the ticket expires
   */
  record Ticket(EntryId issuer, int number, Instant expiry) {}
}
