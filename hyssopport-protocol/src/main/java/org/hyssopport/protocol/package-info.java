/**
 * The clients of the platform and its workers, which use JSON over HTTP, and the links between
 * instances, which carry MessagePack in frames over TCP.
 *
 * <p>Entry instances ({@code hyssopport serve}) use the HTTP clients and exchange peer messages
 * over a {@link org.hyssopport.protocol.PeerLink}. The members of a cell ({@code hyssopport cell})
 * exchange {@link org.hyssopport.protocol.MemberMessage}s over a {@link
 * org.hyssopport.protocol.FramedLink}.
 */
package org.hyssopport.protocol;
