PRAGMA user_version = 2;
PRAGMA application_id = 1380733233;
BEGIN TRANSACTION;
CREATE TABLE entries (
            seq INTEGER PRIMARY KEY AUTOINCREMENT, name TEXT NOT NULL UNIQUE, tenant TEXT NOT NULL,
            kind TEXT NOT NULL, safe INTEGER NOT NULL, question BLOB NOT NULL, work REAL NOT NULL,
            created_s REAL NOT NULL, expires_s REAL NOT NULL, state INTEGER NOT NULL, token INTEGER NOT NULL,
            attempts INTEGER NOT NULL, ended_s REAL, end TEXT, answer BLOB, seal BLOB NOT NULL, key TEXT);
INSERT INTO "entries" VALUES(1,'waits','farm','query',1,X'7175657374696F6E2031',10.0,1000.0,10000.0,0,0,0,NULL,NULL,NULL,X'84074308B0F2367D70F45B23','key-1');
INSERT INTO "entries" VALUES(2,'withdrawn','farm','query',1,X'7175657374696F6E2032',20.5,1000.0,10000.0,2,0,0,1001.0,'withdrawn',X'',X'805868A02C84557CEAE3462D',NULL);
INSERT INTO "entries" VALUES(3,'begun','farm','booking',0,X'7175657374696F6E2033',30.0,1000.0,10000.0,1,7,1,NULL,NULL,NULL,X'E033CBEB3A316EBB5A470D3C',NULL);
INSERT INTO "entries" VALUES(4,'served','fish','query',1,X'7175657374696F6E2034',40.0,1000.0,10000.0,2,7,1,1004.0,'served',X'616E20616E73776572',X'8BED2865259A14A8105717DF',NULL);
INSERT INTO "entries" VALUES(5,'failed','fish','query',1,X'7175657374696F6E2035',50.0,1000.0,10000.0,2,7,1,1004.0,'failed',X'6974206661696C656420312074696D6573',X'B8515B655C8A8C3F74C50417',NULL);
INSERT INTO "entries" VALUES(6,'unknown','fish','booking',0,X'7175657374696F6E2036',60.0,1000.0,10000.0,2,7,1,1004.0,'unknown',X'6974206D617920686176652072756E2C20616E64206973206E6F742072756E20616761696E',X'837557B4CBC327DFCD5577B9',NULL);
INSERT INTO "entries" VALUES(7,'expired','rail','query',1,X'7175657374696F6E2037',70.0,1000.0,1005.0,2,0,0,1006.0,'expired',X'',X'91726EF22FCE8B8102319C77','key-7');
INSERT INTO "entries" VALUES(8,'again','rail','query',1,X'7175657374696F6E2038',80.0,1000.0,10000.0,0,7,0,NULL,NULL,NULL,X'C22FF58C961CA5B2FC00EF3D',NULL);
CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
INSERT INTO "meta" VALUES('token',7);
CREATE TABLE totals (
            tenant TEXT PRIMARY KEY, entries INTEGER NOT NULL, bytes INTEGER NOT NULL) WITHOUT ROWID;
INSERT INTO "totals" VALUES('farm',2,30);
INSERT INTO "totals" VALUES('fish',0,93);
INSERT INTO "totals" VALUES('rail',1,20);
CREATE INDEX waiting ON entries (tenant, seq) WHERE state = 0;
CREATE INDEX under_way ON entries (seq) WHERE state = 1;
CREATE INDEX expiring ON entries (expires_s) WHERE state = 0;
CREATE INDEX ended ON entries (ended_s) WHERE state = 2;
CREATE UNIQUE INDEX by_key ON entries (tenant, key) WHERE key IS NOT NULL;
CREATE TRIGGER entered AFTER INSERT ON entries BEGIN
            INSERT INTO totals VALUES (new.tenant, new.state < 2, length(new.question))
            ON CONFLICT (tenant) DO UPDATE SET
                entries = entries + excluded.entries, bytes = bytes + excluded.bytes;
        END;
CREATE TRIGGER moved AFTER UPDATE OF state, answer, question ON entries BEGIN
            UPDATE totals SET entries = entries + (new.state < 2) - (old.state < 2),
                bytes = bytes + length(new.question) - length(old.question)
                    + coalesce(length(new.answer), 0) - coalesce(length(old.answer), 0)
            WHERE tenant = new.tenant;
        END;
CREATE TRIGGER removed AFTER DELETE ON entries BEGIN
            UPDATE totals SET entries = entries - (old.state < 2),
                bytes = bytes - length(old.question) - coalesce(length(old.answer), 0)
            WHERE tenant = old.tenant;
        END;
DELETE FROM "sqlite_sequence";
INSERT INTO "sqlite_sequence" VALUES('entries',8);
COMMIT;
