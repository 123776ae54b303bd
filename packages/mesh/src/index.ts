/** The public entry of the mesh: links between nodes, failure detection and membership. */
export * from './common/services/Services.js';
export * from './common/MemberCodec.js';
export * from './common/CheckedHandler.js';
export * from './common/MemberTable.js';
export * from './common/Messages.js';
export * from './common/Notifications.js';
export * from './common/ProbeMessages.js';
export * from './common/Rendezvous.js';
export * from './common/RpcErrors.js';
export * from './common/SwimMembership.js';
export * from './common/ZoneBroadcast.js';
export * from './common/Zones.js';
export type { LinkSilence } from './node/PeerLink.js';
export * from './node/SocketTransport.js';
