/**
 * The clients of the platform and its workers, which use JSON over HTTP, and the links between
 * instances, which carry MessagePack in frames over TCP.
 */
package org.hyssopport.protocol;
